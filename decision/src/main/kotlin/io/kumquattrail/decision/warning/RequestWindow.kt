package io.kumquattrail.decision.warning

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts good and bad requests by the second over a sliding window of [seconds]. */
internal class RequestWindow(
    private val seconds: Int,
) {
    private val index = LongArray(seconds) { Long.MIN_VALUE }
    private val good = LongArray(seconds)
    private val bad = LongArray(seconds)

    fun add(
        goodRequests: Long,
        badRequests: Long,
        now: MonotonicTime,
    ) {
        val second = secondOf(now)
        val slot = Math.floorMod(second, seconds)
        if (index[slot] != second) {
            index[slot] = second
            good[slot] = 0
            bad[slot] = 0
        }
        good[slot] += goodRequests
        bad[slot] += badRequests
    }

    /** Returns the counts of the last [window]. */
    fun over(
        window: Duration,
        now: MonotonicTime,
    ): RequestCount {
        val first = secondOf(now) - window.toDouble(DurationUnit.SECONDS).toLong()
        val slots = index.indices.filter { index[it] > first }
        return RequestCount(slots.sumOf { good[it] }, slots.sumOf { bad[it] })
    }

    private fun secondOf(now: MonotonicTime): Long = Math.floorDiv(now.nanoseconds, NANOSECONDS_PER_SECOND)

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}

/** Counts requests that met and missed a service level. */
internal data class RequestCount(
    val good: Long,
    val bad: Long,
) {
    val badShare: Double get() = if (good + bad == 0L) 0.0 else bad.toDouble() / (good + bad)
}
