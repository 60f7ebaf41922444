package io.kumquattrail.decision.expert.popularity

import kotlin.math.max
import kotlin.math.min

/**
 * Holds the settings of a [RankSpeedEstimator]. Speeds are relative to the median rank.
 *
 * @property gain weight of an observation in the smoothed time per token.
 * @property stragglerSpeed speed at or below which a rank counts as straggling.
 * @property recoveredSpeed speed at or above which a straggling rank counts as recovered.
 * @property confirmations number of successive slow observations after which a rank counts as straggling.
 * @property minimumSpeed lowest speed that is reported, so that a rank keeps enough load to be measured.
 */
data class RankSpeedSettings(
    val gain: Double = 0.3,
    val stragglerSpeed: Double = 0.87,
    val recoveredSpeed: Double = 0.95,
    val confirmations: Int = 3,
    val minimumSpeed: Double = 0.25,
)

/**
 * Estimates the speeds of ranks from their compute time per token.
 *
 * The time per token does not depend on how many tokens a rank's experts receive, so a rank with hot experts does not
 * count as straggling. Speeds are relative to the median rank and exactly 1 for all ranks that do not straggle.
 */
class RankSpeedEstimator(
    private val ranks: Int,
    private val settings: RankSpeedSettings = RankSpeedSettings(),
) {
    private val secondsPerToken = DoubleArray(ranks)
    private val slowObservations = IntArray(ranks)
    private val isStraggling = BooleanArray(ranks)

    /** Records the tokens and the compute time of each rank; ranks that did not report have 0 tokens. */
    fun recordTimes(
        tokens: DoubleArray,
        computeSeconds: DoubleArray,
    ) {
        for (rank in 0 until ranks) {
            if (tokens[rank] <= 0) continue
            val latest = computeSeconds[rank] / tokens[rank]
            val previous = secondsPerToken[rank]
            secondsPerToken[rank] = if (previous == 0.0) latest else previous + settings.gain * (latest - previous)
        }
        for (rank in 0 until ranks) {
            val speed = rawSpeed(rank)
            slowObservations[rank] = if (speed <= settings.stragglerSpeed) slowObservations[rank] + 1 else 0
            isStraggling[rank] =
                if (isStraggling[rank]) {
                    speed < settings.recoveredSpeed
                } else {
                    slowObservations[rank] >= settings.confirmations
                }
        }
    }

    /** Lists the ranks that straggle. */
    fun stragglers(): List<Int> = isStraggling.indices.filter { isStraggling[it] }

    /** Returns the speed of each rank for [io.kumquattrail.decision.expert.placement.PlacementInput.rankSpeeds]. */
    fun speeds(): DoubleArray =
        DoubleArray(ranks) { if (isStraggling[it]) min(1.0, max(settings.minimumSpeed, rawSpeed(it))) else 1.0 }

    private fun rawSpeed(rank: Int): Double {
        val measured = secondsPerToken.filter { it > 0 }.sorted()
        if (measured.isEmpty() || secondsPerToken[rank] == 0.0) return 1.0
        return measured[measured.size / 2] / secondsPerToken[rank]
    }
}
