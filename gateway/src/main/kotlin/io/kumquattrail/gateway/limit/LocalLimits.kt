package io.kumquattrail.gateway.limit

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.limit.LoadShedder
import io.kumquattrail.decision.limit.QuotaDecision
import io.kumquattrail.decision.limit.ServerLoad
import io.kumquattrail.decision.limit.ShedDecision
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.decision.suspect.ExecutionPolicy
import io.kumquattrail.gateway.request.ClassifiedRequest
import io.kumquattrail.node.NodeRuntime
import java.util.concurrent.ConcurrentHashMap

/** Refuses requests at the gateway: such that crash servers, exceed a published limit, or meet an overloaded service. */
class LocalLimits(
    private val node: NodeRuntime,
    private val quota: QuotaExchange,
) {
    private val shedders = ConcurrentHashMap<ServiceName, LoadShedder>()

    /** Notes a load report of the agent beside [server]. */
    fun observed(
        service: ServiceName,
        server: ServerName,
        load: LoadReport,
    ) {
        val shedder = shedder(service)
        val serverLoad = ServerLoad(load.queued, load.concurrencyLimit, load.draining)
        synchronized(shedder) { shedder.observe(server, serverLoad, node.clock.monotonic()) }
    }

    /** Returns why [request] is refused without an attempt, or `null`. */
    fun refusal(request: ClassifiedRequest): Refusal? = crashRefusal(request) ?: overload(request) ?: limit(request)

    /** Returns a refusal when [request] has crashed servers and is blocked. */
    fun crashRefusal(request: ClassifiedRequest): Refusal? =
        when (val policy = node.suspects.executionPolicy(request.fingerprint)) {
            is ExecutionPolicy.Blocked -> {
                Refusal(
                    reason = RefusalReason.REQUEST_CRASHES_SERVERS,
                    runState = RunState.NO,
                    detail = "The request crashed backend servers that ran it.",
                    retryAfter = policy.remaining,
                )
            }

            ExecutionPolicy.Isolated, ExecutionPolicy.Normal -> {
                null
            }
        }

    private fun overload(request: ClassifiedRequest): Refusal? {
        val shedder = shedder(request.identified.request.service)
        val priority = request.identified.organisation.priority
        val decision = synchronized(shedder) { shedder.admit(priority, tokens(request), node.clock.monotonic()) }
        return when (decision) {
            ShedDecision.Admitted -> {
                null
            }

            is ShedDecision.Shed -> {
                val detail = "The service has more work than its servers can run."
                Refusal(RefusalReason.OVERLOADED, RunState.NO, detail, decision.retryAfter)
            }
        }
    }

    private fun limit(request: ClassifiedRequest): Refusal? =
        when (val decision = quota.admit(request.identified.organisation.name, tokens(request))) {
            QuotaDecision.Granted -> {
                null
            }

            is QuotaDecision.Refused -> {
                val detail = "The organisation's published limit is reached."
                Refusal(RefusalReason.ORGANISATION_LIMIT, RunState.NO, detail, decision.retryAfter)
            }
        }

    private fun tokens(request: ClassifiedRequest): Long =
        request.identified.request.cost.total
            .toLong()

    private fun shedder(service: ServiceName): LoadShedder = shedders.computeIfAbsent(service) { LoadShedder() }
}
