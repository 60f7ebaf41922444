package io.kumquattrail.decision.expert.popularity

import kotlin.time.Duration

/**
 * Describes how many tokens each expert of each layer is expected to receive.
 *
 * @property layers one entry per layer.
 */
class Popularity(
    val layers: List<LayerPopularity>,
)

/** Tells persistent changes of popularity from passing ones. */
enum class PopularityTrend {
    /** Deviations are no larger than noise. */
    CALM,

    /** Popularity moves in one direction. */
    DRIFTING,

    /** Popularity left its level a short while ago and may return. */
    BURST,

    /** Popularity returns to earlier levels again and again. */
    SWINGING,
}

/**
 * Describes the popularity of the experts of one layer.
 *
 * @property tokens expected tokens per step and expert.
 * @property peak highest recent level of each expert, in tokens per step; it decays slowly, so that a replica that a
 *   swing needs again is not given up between two swings.
 * @property noise relative deviation of one observation from the expected value, averaged over the tokens.
 * @property horizon time for which [tokens] is expected to describe the traffic.
 */
class LayerPopularity(
    val tokens: DoubleArray,
    val peak: DoubleArray = tokens,
    val noise: Double = 0.0,
    val trend: PopularityTrend = PopularityTrend.CALM,
    val horizon: Duration = Duration.INFINITE,
)
