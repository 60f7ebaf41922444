package io.kumquattrail.decision.placement

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the requests a second to each server that bears only a few while it is cold.
 *
 * A server may turn cold without notice, so the limit holds at all times. It counts sendings in a sliding window of one
 * second, which needs no assumption on when the server counts.
 */
class ColdRateLimit(
    private val allowance: SharedAllowance,
) {
    private val sendings = HashMap<ServerName, ArrayDeque<MonotonicTime>>()

    /** Tells whether [server] may be sent one more request when all processes may send it [total] a second. */
    fun mayStart(
        server: ServerName,
        total: Double,
        now: MonotonicTime,
    ): Boolean = recent(server, now).size + 1 <= maxOf(1.0, allowance.partOf(total))

    /** Records a sending to [server]. */
    fun sent(
        server: ServerName,
        now: MonotonicTime,
    ) {
        recent(server, now).addLast(now)
    }

    private fun recent(
        server: ServerName,
        now: MonotonicTime,
    ): ArrayDeque<MonotonicTime> {
        val times = sendings.getOrPut(server) { ArrayDeque() }
        while (times.isNotEmpty() && now - times.first() > WINDOW) times.removeFirst()
        return times
    }

    private companion object {
        /** Longer than the second in which servers count, by the spread of delays on the way there. */
        val WINDOW = 1.1.seconds
    }
}
