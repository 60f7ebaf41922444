package io.kumquattrail.decision.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the thresholds of a [LoadShedder].
 *
 * @property raiseAbove waiting requests per place at the servers above which more is shed.
 * @property lowerBelow waiting requests per place at the servers below which less is shed.
 * @property raiseStep change of the shed share in one interval while pressure is high.
 * @property lowerStep change of the shed share in one interval while pressure is low.
 * @property keptShare share of all offered tokens that lower priorities keep, above the share that agents' queues
 *   reserve for them.
 * @property interval time between two changes, longer than reports take to show the effect of the last.
 * @property reportValidity time after which a report no longer counts.
 * @property shortestRetryAfter time that a refusal names at the least.
 */
data class LoadShedderSettings(
    val raiseAbove: Double = 1.0,
    val lowerBelow: Double = 0.25,
    val raiseStep: Double = 0.05,
    val lowerStep: Double = 0.02,
    val keptShare: Double = 0.3,
    val interval: Duration = 1.seconds,
    val reportValidity: Duration = 10.seconds,
    val shortestRetryAfter: Duration = 1.seconds,
) {
    init {
        require(lowerBelow < raiseAbove) { "lowerBelow has to be less than raiseAbove" }
    }
}
