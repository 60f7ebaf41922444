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

/** Distinguishes persistent changes of popularity from temporary ones. */
enum class PopularityTrend {
    /** Popularity is at its long-term level, apart from noise. */
    CALM,

    /** Popularity has been away from its long-term level for longer than a burst. */
    DRIFTING,

    /** Popularity has recently left its long-term level and may return to it. */
    BURST,

    /** Popularity repeatedly crosses its long-term level and goes clearly beyond it. */
    SWINGING,
}

/**
 * Describes the popularity of the experts of one layer.
 *
 * @property tokens expected tokens per step and expert.
 * @property peak highest recent level of each expert, in tokens per step. It decays slowly, so that replicas that the
 *   next swing needs again are kept between swings.
 * @property noise relative deviation of an observation from the forecast: the root mean square over the experts,
 *   weighted by the forecast and smoothed over windows.
 * @property horizon time for which [tokens] is expected to describe the traffic.
 */
class LayerPopularity(
    val tokens: DoubleArray,
    val peak: DoubleArray = tokens,
    val noise: Double = 0.0,
    val trend: PopularityTrend = PopularityTrend.CALM,
    val horizon: Duration = Duration.INFINITE,
)
