package io.kumquattrail.decision.limit

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Measures the rate at which a queue drains while something waits in it, as an exponentially decaying average.
 *
 * Idle time does not count: an empty queue says nothing about the rate that its server can sustain.
 */
internal class DrainMeter(
    initialTokensPerSecond: Double,
    window: Duration,
) {
    private val windowSeconds = window.toDouble(DurationUnit.SECONDS)
    private var tokens = initialTokensPerSecond
    private var busySeconds = 1.0
    private var last: MonotonicTime? = null

    /** Mean drain rate in tokens a second of busy time, above zero. */
    val tokensPerSecond: Double get() = maxOf(tokens / busySeconds, LEAST_TOKENS_PER_SECOND)

    /** Accounts for the time since the last call; [busy] tells whether something waited during that time. */
    fun advance(
        now: MonotonicTime,
        busy: Boolean,
    ) {
        val previous = last
        last = now
        if (previous == null || !busy || now <= previous) return
        val seconds = (now - previous).toDouble(DurationUnit.SECONDS)
        val decay = exp(-seconds / windowSeconds)
        tokens *= decay
        busySeconds = busySeconds * decay + windowSeconds * (1 - decay)
    }

    /** Accounts for work that left the queue towards the server. */
    fun drained(cost: Long) {
        tokens += cost
    }

    private companion object {
        const val LEAST_TOKENS_PER_SECOND = 1.0
    }
}
