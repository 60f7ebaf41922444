package io.kumquattrail.gateway.call

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.membership.Member
import io.kumquattrail.decision.membership.MemberState
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.routing.Assignment
import io.kumquattrail.decision.routing.AssignmentEnd
import io.kumquattrail.decision.routing.RoutingDecision
import io.kumquattrail.decision.routing.RoutingPolicy
import io.kumquattrail.decision.routing.RoutingRequest
import io.kumquattrail.decision.routing.RoutingTarget
import io.kumquattrail.decision.routing.TokenCostRouting
import io.kumquattrail.decision.routing.TokenCostSettings
import io.kumquattrail.decision.routing.routingTarget
import io.kumquattrail.gateway.request.ClassifiedRequest
import io.kumquattrail.node.NodeRuntime
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Names the server of an attempt.
 *
 * @property assignment the policy's note of the attempt, or `null` when the key's owner was not chosen by a policy.
 */
class SelectedServer(
    val record: BackendServerRecord,
    val assignment: Assignment?,
)

/** Chooses servers by one [RoutingPolicy] for each service. May be used by many threads. */
class ServerSelection(
    private val node: NodeRuntime,
    private val createPolicy: (ServiceName) -> RoutingPolicy,
) {
    private class Routed(
        val policy: RoutingPolicy,
    ) {
        var records: RecordSet? = null
        var members: Map<ProcessName, Member>? = null
    }

    private val services = ConcurrentHashMap<ServiceName, Routed>()

    /** Chooses a server for [request] that is not in [excluded], or returns `null` when none is available. */
    fun choose(
        request: ClassifiedRequest,
        excluded: Set<ServerName>,
    ): SelectedServer? {
        val parsed = request.identified.request
        val records = node.records
        val routing =
            RoutingRequest(
                promptTokens = parsed.cost.promptTokens,
                outputTokens = parsed.cost.outputTokens,
                prefix = PrefixBlocks.of(parsed.promptPrefix),
                priority = request.identified.organisation.priority,
                excluded = excluded,
            )
        return withPolicy(parsed.service, records) { policy ->
            when (val decision = policy.choose(routing, node.clock.monotonic())) {
                is RoutingDecision.Chosen -> {
                    records.server(decision.assignment.server)?.let { SelectedServer(it, decision.assignment) }
                }

                is RoutingDecision.NoServer -> {
                    null
                }
            }
        }
    }

    /** Notes that the first token or byte of the attempt's answer arrived. */
    fun firstToken(server: SelectedServer) {
        val assignment = server.assignment ?: return
        change(server.record.service) { it.onFirstToken(assignment, node.clock.monotonic()) }
    }

    /** Notes that the attempt ended. */
    fun ended(
        server: SelectedServer,
        end: AssignmentEnd,
    ) {
        val assignment = server.assignment ?: return
        change(server.record.service) { it.onEnd(assignment, end, node.clock.monotonic()) }
    }

    /** Notes a load report of the agent beside [server]. */
    fun observed(
        server: BackendServerRecord,
        load: LoadReport,
    ) = change(server.service) { it.onLoadReport(server.name, load, node.clock.monotonic()) }

    private fun change(
        service: ServiceName,
        action: (RoutingPolicy) -> Unit,
    ) = withPolicy(service, node.records, action)

    private fun <T> withPolicy(
        service: ServiceName,
        records: RecordSet,
        action: (RoutingPolicy) -> T,
    ): T {
        val routed = services.computeIfAbsent(service) { Routed(createPolicy(it)) }
        return synchronized(routed) {
            if (routed.records !== records) {
                routed.policy.updateTargets(
                    records.serversByService[service].orEmpty().map { it.routingTarget(records) },
                )
                routed.records = records
            }
            action(routed.policy)
        }
    }

    private fun targets(
        service: ServiceName,
        records: RecordSet,
        members: Map<ProcessName, Member>,
    ): List<RoutingTarget> =
        records.serversByService[service].orEmpty().map { record ->
            val state = members[ProcessName(record.address)]?.state
            record.routingTarget(records, leaving = state == MemberState.LEAVING || state == MemberState.DEAD)
        }

    companion object {
        /** Creates a selection by token cost that prefers servers of [zone]. */
        fun byTokenCost(
            node: NodeRuntime,
            zone: ZoneName,
        ): ServerSelection =
            ServerSelection(node) {
                TokenCostRouting(Random(node.random.nextLong()), TokenCostSettings(localZone = zone))
            }
    }
}
