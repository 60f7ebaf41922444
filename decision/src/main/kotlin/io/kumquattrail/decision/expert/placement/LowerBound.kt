package io.kumquattrail.decision.expert.placement

import kotlin.math.ceil
import kotlin.math.max

private const val SEARCH_STEPS = 50
private const val ROUNDING_TOLERANCE = 1e-9

/**
 * Computes a lower bound of the load of the most loaded rank, which holds for all placements and shares.
 *
 * The load of a rank is its tokens divided by its speed. A maximum load `t` implies two conditions: all ranks together
 * serve at most `t` times the sum of their speeds, and an expert with `tokens` needs at least `tokens / (t * fastest)`
 * replicas, each in its own slot.
 */
object LowerBound {
    /** Returns the lower bound for one layer, in tokens on a rank of speed 1. */
    fun maximumLoad(
        tokens: DoubleArray,
        slots: Int,
        rankSpeeds: DoubleArray,
    ): Double {
        val fastest = rankSpeeds.max()
        var low = tokens.sum() / rankSpeeds.sum()
        if (replicasNeeded(tokens, low * fastest) <= slots) return low
        var high = max(low, tokens.max() / fastest)
        repeat(SEARCH_STEPS) {
            val middle = (low + high) / 2
            if (replicasNeeded(tokens, middle * fastest) <= slots) high = middle else low = middle
        }
        return high
    }

    /** Returns how many replicas are needed so that no replica serves more than [limit] tokens. */
    fun replicasNeeded(
        tokens: DoubleArray,
        limit: Double,
    ): Int = tokens.sumOf { max(1, ceil(it / limit - ROUNDING_TOLERANCE).toInt()) }
}
