package io.kumquattrail.decision.placement

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the requests per second to each server that supports only a low rate while it is cold.
 *
 * A server may turn cold without notice, so the limit applies at all times. Requests are counted in a sliding window of
 * a little over one second, so the limit holds wherever the server's own one-second windows begin.
 */
class ColdRateLimit(
    private val allowance: SharedAllowance,
) {
    private val sendTimes = HashMap<ServerName, ArrayDeque<MonotonicTime>>()

    /** Returns whether [server] may be sent another request, if all processes may send it [total] per second. */
    fun mayStart(
        server: ServerName,
        total: Double,
        now: MonotonicTime,
    ): Boolean = recentSends(server, now).size + 1 <= maxOf(1.0, allowance.partOf(total))

    /** Records that a request was sent to [server]. */
    fun recordSend(
        server: ServerName,
        now: MonotonicTime,
    ) {
        recentSends(server, now).addLast(now)
    }

    private fun recentSends(
        server: ServerName,
        now: MonotonicTime,
    ): ArrayDeque<MonotonicTime> {
        val times = sendTimes.getOrPut(server) { ArrayDeque() }
        while (times.isNotEmpty() && now - times.first() > WINDOW) times.removeFirst()
        return times
    }

    private companion object {
        /** Longer than the one second in which servers count requests, by the jitter of network delays. */
        val WINDOW = 1.1.seconds
    }
}
