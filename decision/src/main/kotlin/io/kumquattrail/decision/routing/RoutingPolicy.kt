package io.kumquattrail.decision.routing

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime

/**
 * Chooses backend servers for one service in one gateway. An implementation is used by one thread at a time.
 *
 * A choice is an estimate: the agent of the server decides, and hands back what does not fit.
 */
interface RoutingPolicy {
    /** Name in settings, metrics and measurements. */
    val name: String

    /** Replaces the servers by [targets]; what is known about servers that stay is kept. */
    fun updateTargets(targets: List<RoutingTarget>)

    /** Chooses a server for [request] and counts it as in flight there. */
    fun choose(
        request: RoutingRequest,
        now: MonotonicTime,
    ): RoutingDecision

    /** Notes that the first token of [assignment] arrived. */
    fun onFirstToken(
        assignment: Assignment,
        now: MonotonicTime,
    )

    /** Notes that [assignment] ended. It has to be called once for each assignment. */
    fun onEnd(
        assignment: Assignment,
        end: AssignmentEnd,
        now: MonotonicTime,
    )

    /**
     * Notes the load of [server].
     *
     * @param takenAt time on this process's clock at which the report was made, as far as known.
     */
    fun onLoadReport(
        server: ServerName,
        report: LoadReport,
        takenAt: MonotonicTime,
    )

    /** Notes a change of a server's prefix cache. */
    fun onCacheEvent(event: CacheEvent) = Unit
}
