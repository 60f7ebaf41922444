package io.kumquattrail.decision.routing

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Holds what a gateway knows about one server, apart from estimates of a particular policy. */
internal class ServerState(
    var target: RoutingTarget,
) {
    val assignments = ArrayList<Assignment>()
    var report: LoadReport? = null
    var reportTakenAt = MonotonicTime(Long.MIN_VALUE)
    var avoidUntil = MonotonicTime(Long.MIN_VALUE)
    var consecutiveBreaks = 0

    /** Number of [assignments] that were sent after the last report was made. */
    var sentSinceReport = 0

    /**
     * Returns the requests at the server as far as known: those of a recent report and those sent since.
     *
     * Reports come with answers, so the last one of an idle server may name requests that ended long ago. It expires, as
     * the server would otherwise count as busy until this gateway sends it a request, which it then never does.
     */
    fun requests(now: MonotonicTime): Int =
        when (val recent = recentReport(now)) {
            null -> assignments.size
            else -> recent.running + recent.queued + sentSinceReport
        }

    /** Requests that the server may hold, assumed to be its cold limit while it is unknown. */
    val concurrencyLimit: Int get() = report?.concurrencyLimit ?: target.coldConcurrency

    fun mayReceive(
        request: RoutingRequest,
        now: MonotonicTime,
    ): Boolean = target.inService && now >= avoidUntil && !isDraining(now) && target.name !in request.excluded

    /** Returns the last report if it still describes the server's requests. */
    fun recentReport(now: MonotonicTime): LoadReport? = report?.takeIf { now < reportTakenAt + REPORT_VALIDITY }

    // A server that gets no work sends no report, so the word "draining" has to expire: otherwise a server that returns to
    // service would never be chosen again. Its agent hands back what it does not take.
    private fun isDraining(now: MonotonicTime): Boolean = recentReport(now)?.draining == true

    private companion object {
        /** Time in which a zone leaves service or a request of usual length ends. */
        val REPORT_VALIDITY = 2.seconds
    }
}

/** Keeps the bookkeeping that all policies of a gateway share. */
internal class ServerTable(
    private val random: Random,
) {
    private var byName = HashMap<ServerName, ServerState>()

    /** Servers in order of their targets. */
    var servers: List<ServerState> = emptyList()
        private set

    fun update(targets: List<RoutingTarget>) {
        val previous = byName
        byName = HashMap()
        servers =
            targets.map { target ->
                val state = previous[target.name] ?: ServerState(target)
                state.target = target
                byName[target.name] = state
                state
            }
    }

    fun find(server: ServerName): ServerState? = byName[server]

    fun assign(
        server: ServerState,
        request: RoutingRequest,
        cachedTokens: Int,
        now: MonotonicTime,
    ): RoutingDecision.Chosen {
        val cost = TokenCost(request.promptTokens - cachedTokens, request.outputTokens)
        val assignment = Assignment(server.target.name, cost, cachedTokens, now)
        server.assignments += assignment
        if (now >= server.reportTakenAt) server.sentSinceReport += 1
        return RoutingDecision.Chosen(assignment)
    }

    fun end(
        assignment: Assignment,
        end: AssignmentEnd,
        now: MonotonicTime,
    ) {
        val state = find(assignment.server) ?: return
        if (!state.assignments.remove(assignment)) return
        if (assignment.sentAt >= state.reportTakenAt) state.sentSinceReport -= 1
        when (end) {
            AssignmentEnd.Completed -> {
                state.consecutiveBreaks = 0
            }

            AssignmentEnd.Cancelled -> {
                Unit
            }

            is AssignmentEnd.NotRun -> {
                avoid(state, end.retryAfter ?: DEFAULT_PAUSE, now)
            }

            AssignmentEnd.Broken -> {
                state.consecutiveBreaks = (state.consecutiveBreaks + 1).coerceAtMost(MAXIMUM_BREAKS)
                avoid(state, BREAK_PAUSE * (1 shl state.consecutiveBreaks), now)
            }
        }
    }

    fun report(
        server: ServerName,
        report: LoadReport,
        takenAt: MonotonicTime,
    ): ServerState? {
        val state = find(server) ?: return null
        if (state.report != null && takenAt < state.reportTakenAt) return null
        state.report = report
        state.reportTakenAt = takenAt
        state.sentSinceReport = state.assignments.count { it.sentAt >= takenAt }
        return state
    }

    /** Returns a server by at most [attempts] draws, then by a scan, or `null` when none may receive [request]. */
    fun draw(
        request: RoutingRequest,
        now: MonotonicTime,
        attempts: Int = DRAWS,
    ): ServerState? {
        if (servers.isEmpty()) return null
        repeat(attempts) {
            val server = servers[random.nextInt(servers.size)]
            if (server.mayReceive(request, now)) return server
        }
        return scan(request, now)
    }

    /** Returns the first server after a random start that may receive [request]. */
    fun scan(
        request: RoutingRequest,
        now: MonotonicTime,
    ): ServerState? {
        if (servers.isEmpty()) return null
        val start = random.nextInt(servers.size)
        for (offset in servers.indices) {
            val server = servers[(start + offset) % servers.size]
            if (server.mayReceive(request, now)) return server
        }
        return null
    }

    /** Keeps work away for a randomised time, so that gateways do not return to the server at the same moment. */
    private fun avoid(
        state: ServerState,
        duration: Duration,
        now: MonotonicTime,
    ) {
        val until = now + duration * random.nextDouble(MINIMUM_JITTER, MAXIMUM_JITTER)
        if (until > state.avoidUntil) state.avoidUntil = until
    }

    companion object {
        /** Time after which a caller may try again when no server can receive its request. */
        val RETRY_AFTER: Duration = 1.seconds
        private val DEFAULT_PAUSE: Duration = 200.milliseconds
        private val BREAK_PAUSE: Duration = 250.milliseconds
        private const val MAXIMUM_BREAKS = 5
        private const val DRAWS = 4
        private const val MINIMUM_JITTER = 0.5
        private const val MAXIMUM_JITTER = 1.5
    }
}
