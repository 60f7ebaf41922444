package io.kumquattrail.decision.limit

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Limits a rate of tokens. A request is granted while the balance is positive and may take it below zero, so that a
 * request larger than the depth can be granted at all.
 */
internal class TokenBucket(
    private var balance: Double,
    private var last: MonotonicTime,
) {
    fun refill(
        tokensPerSecond: Double,
        depth: Double,
        now: MonotonicTime,
    ) {
        if (now > last) {
            balance += tokensPerSecond * (now - last).toDouble(DurationUnit.SECONDS)
            last = now
        }
        balance = minOf(balance, depth)
    }

    val hasTokens: Boolean get() = balance > 0.0

    /** Raises the balance to [depth] and so drops any debt. */
    fun fill(depth: Double) {
        balance = depth
    }

    fun charge(tokens: Double) {
        balance -= tokens
    }

    /** Time until the balance is positive again at [tokensPerSecond]. */
    fun waitAt(tokensPerSecond: Double): Duration =
        if (hasTokens) Duration.ZERO else ((1.0 - balance) / maxOf(tokensPerSecond, LEAST_TOKENS_PER_SECOND)).seconds

    private companion object {
        const val LEAST_TOKENS_PER_SECOND = 0.001
    }
}
