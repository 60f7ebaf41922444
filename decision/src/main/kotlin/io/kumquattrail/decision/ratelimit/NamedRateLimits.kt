package io.kumquattrail.decision.ratelimit

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One start of a server. What it said of itself does not hold for its next start.
 *
 * @property incarnation as in [BackendServer.incarnation].
 */
data class ServerIncarnation(
    val name: ServerName,
    val incarnation: Long,
) {
    /** Creates the incarnation of a registered [server]. */
    constructor(server: BackendServer) : this(name = server.name, incarnation = server.incarnation)
}

/** A change of what is known about the limit of a server; both limits are in requests per second, `null` for none. */
data class RateLimitChange(
    val server: ServerIncarnation,
    val before: Double?,
    val after: Double?,
)

/**
 * What a gateway tells its peers about the limit of a server.
 *
 * @property requestsPerSecond the limit; `null` if an earlier one has ended.
 * @property age time since the answer that said so.
 */
data class RateLimitReport(
    val server: ServerIncarnation,
    val requestsPerSecond: Double?,
    val age: Duration,
)

/**
 * The request rate limits that servers have named in their latest answers, to this gateway or to its peers.
 *
 * The latest answer counts, whoever received it: a gateway that sends a limited server nothing gets no answer from it
 * and would learn neither of the limit nor of its end.
 */
class NamedRateLimits {
    private val observations = HashMap<ServerIncarnation, Observation>()

    /** Whether any server has a limit. */
    var hasLimits = false
        private set

    /** Returns the limit of [server] in requests per second, or `null` when it has none. */
    fun limitOf(server: ServerIncarnation): Double? = observations[server]?.limit

    /** Records the [notice] in an answer of [server]; returns the change of its limit, or `null` if it is the same. */
    fun recordAnswer(
        server: ServerIncarnation,
        notice: RateLimitNotice,
        now: MonotonicTime,
    ): RateLimitChange? =
        record(server, limit = (notice as? RateLimitNotice.Limited)?.requestsPerSecond, answeredAt = now)

    /** Records the [reports] of a peer; returns the changes of limits. */
    fun merge(
        reports: List<RateLimitReport>,
        now: MonotonicTime,
    ): List<RateLimitChange> =
        reports.mapNotNull { report ->
            val answeredAt = now - report.age - LONGEST_TRANSIT
            val known = observations[report.server]
            if (known != null && known.answeredAt >= answeredAt) return@mapNotNull null
            record(report.server, report.requestsPerSecond, answeredAt)
        }

    /** Returns what peers should know: the limits, the latest first and at most [MAXIMUM_REPORTS], and recent ends. */
    fun reports(now: MonotonicTime): List<RateLimitReport> =
        observations.entries
            .filter { (_, known) ->
                known.limit != null || known.endedAt?.let { now - it < END_REPORT_TIME } == true
            }.sortedByDescending { (_, known) -> known.answeredAt.nanoseconds }
            .take(MAXIMUM_REPORTS)
            .map { (server, known) -> RateLimitReport(server, known.limit, age = now - known.answeredAt) }

    /** Drops the limits of servers that are not in [registered]. */
    fun retainServers(registered: Set<ServerName>) {
        observations.keys.retainAll { it.name in registered }
        updateHasLimits()
    }

    private fun record(
        server: ServerIncarnation,
        limit: Double?,
        answeredAt: MonotonicTime,
    ): RateLimitChange? {
        val known = observations[server]
        val endedAt = if (limit == null && known?.limit != null) answeredAt else known?.endedAt
        observations[server] = Observation(limit = limit, answeredAt = answeredAt, endedAt = endedAt)
        if (known?.limit == limit) return null
        updateHasLimits()
        return RateLimitChange(server, before = known?.limit, after = limit)
    }

    private fun updateHasLimits() {
        hasLimits = observations.values.any { it.limit != null }
    }

    /** @property endedAt time of the answer that ended the last limit; `null` if there was none. */
    private class Observation(
        val limit: Double?,
        val answeredAt: MonotonicTime,
        val endedAt: MonotonicTime?,
    )

    private companion object {
        /**
         * Age that is added to a report for its way here. Without it, a report that was overtaken by an answer to this
         * gateway would replace that answer.
         */
        val LONGEST_TRANSIT = 350.milliseconds

        /** Time for which the end of a limit is reported; it covers several rounds of exchange, also by way of others. */
        val END_REPORT_TIME = 10.seconds

        /** Bounds the message to a peer to about 20 KiB. */
        const val MAXIMUM_REPORTS = 256
    }
}
