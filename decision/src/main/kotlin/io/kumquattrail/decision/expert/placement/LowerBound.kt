package io.kumquattrail.decision.expert.placement

import kotlin.math.ceil
import kotlin.math.max

private const val SEARCH_STEPS = 50
private const val ROUNDING = 1e-9

/**
 * Bounds the load of the most loaded rank from below, for any placement and any shares.
 *
 * The load of a rank is its tokens divided by its speed. Two bounds hold for a maximum load `t`: all ranks together serve
 * at most `t` times the sum of their speeds, and an expert with `tokens` needs at least `tokens / (t * fastest)` replicas,
 * each in a slot of its own.
 */
object LowerBound {
    /** Returns the bound for one layer, in tokens. */
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

    /** Counts the replicas without which some replica would serve more than [limit] tokens. */
    fun replicasNeeded(
        tokens: DoubleArray,
        limit: Double,
    ): Int = tokens.sumOf { max(1, ceil(it / limit - ROUNDING).toInt()) }
}
