package io.kumquattrail.decision.timeline

import io.kumquattrail.decision.time.WallTime
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Gives each event of a process a timestamp above those of all events that the process knows of.
 *
 * The clock is safe for concurrent use. It stays close to wall time and never goes back when wall time does.
 *
 * @param driftLimit how far a received timestamp may lie ahead of the own wall time. Later ones are ignored, as one VM
 *   with a wrong clock would otherwise move the clocks of the whole fleet.
 */
class HybridLogicalClock(
    private val driftLimit: Duration = 1.minutes,
) {
    // Milliseconds above, counter below: a counter that overflows runs into the next millisecond.
    private val latest = AtomicLong()

    /** Returns the timestamp of a new event at wall time [wall]. */
    fun next(wall: WallTime): HybridTimestamp =
        unpack(latest.updateAndGet { maxOf(it + 1, wall.milliseconds shl COUNTER_BITS) })

    /** Takes in the timestamp [received] with a message; returns whether it was within the drift limit. */
    fun observe(
        received: HybridTimestamp,
        wall: WallTime,
    ): Boolean {
        if (received.milliseconds > (wall + driftLimit).milliseconds) return false
        if (received.milliseconds < 0 || received.counter !in 0..COUNTER_MASK.toInt()) return false
        latest.accumulateAndGet(pack(received), ::maxOf)
        return true
    }

    private fun pack(timestamp: HybridTimestamp): Long =
        (timestamp.milliseconds shl COUNTER_BITS) or timestamp.counter.toLong()

    private fun unpack(packed: Long): HybridTimestamp =
        HybridTimestamp(milliseconds = packed shr COUNTER_BITS, counter = (packed and COUNTER_MASK).toInt())

    private companion object {
        const val COUNTER_BITS = 16
        const val COUNTER_MASK = 0xFFFFL
    }
}
