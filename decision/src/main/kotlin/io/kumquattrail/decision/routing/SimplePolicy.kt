package io.kumquattrail.decision.routing

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random

/** Implements a policy that needs only the shared bookkeeping and its own way to [select] a server. */
abstract class SimplePolicy internal constructor(
    random: Random,
) : RoutingPolicy {
    internal val table = ServerTable(random)

    /** Selects a server that may receive [request], or `null` when there is none. */
    internal abstract fun select(
        request: RoutingRequest,
        now: MonotonicTime,
    ): ServerState?

    override fun updateTargets(targets: List<RoutingTarget>) = table.update(targets)

    override fun choose(
        request: RoutingRequest,
        now: MonotonicTime,
    ): RoutingDecision =
        select(request, now)?.let { table.assign(it, request, cachedTokens = 0, now) }
            ?: RoutingDecision.NoServer(ServerTable.RETRY_AFTER)

    override fun onFirstToken(
        assignment: Assignment,
        now: MonotonicTime,
    ) {
        assignment.firstTokenAt = now
    }

    override fun onEnd(
        assignment: Assignment,
        end: AssignmentEnd,
        now: MonotonicTime,
    ) = table.end(assignment, end, now)

    override fun onLoadReport(
        server: ServerName,
        report: LoadReport,
        takenAt: MonotonicTime,
    ) {
        table.report(server, report, takenAt)
    }
}
