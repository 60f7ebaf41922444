package io.kumquattrail.decision.expert.placement

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.popularity.Popularity

/** Plans where the experts of a group are placed. Implementations keep no state between plans. */
interface PlacementPolicy {
    /** Name of the policy in measurements and metrics. */
    val name: String

    /** Returns the plan for [input]; a plan that contains the present map requests no change. */
    fun plan(input: PlacementInput): PlacementPlan
}

/**
 * Holds the input of a plan.
 *
 * @property present map in use; `null` while the group has none.
 * @property popularity expected traffic; `null` before the first observation.
 * @property stagingPerRank number of expert copies that a rank can hold beyond its slots while both the old and the new
 *   map are loaded.
 * @property rankSpeeds relative speed of each rank; 1 for a rank that is not a straggler.
 */
class PlacementInput(
    val shape: GroupShape,
    val present: ExpertMap?,
    val popularity: Popularity?,
    val rankSpeeds: DoubleArray = DoubleArray(shape.ranks) { 1.0 },
    val stagingPerRank: Int = 16,
    val price: MovePrice = MovePrice(),
)

/**
 * Holds a planned map.
 *
 * @property moves number of expert copies that ranks have to load.
 * @property isChange whether the map differs from the present one.
 */
class PlacementPlan(
    val map: ExpertMap,
    val moves: Int,
    val isChange: Boolean,
)

/**
 * Holds the cost of a moved byte and the value of reduced skew, both in seconds of step time of the whole group.
 *
 * @property secondsPerByte time by which the steps of the group are lengthened for each byte that a rank loads. It
 *   covers the link and memory bandwidth that the load uses, and its share of the rate-limited weight store.
 * @property layerSecondsPerStep time per step that the experts of one layer take in a perfectly balanced group.
 * @property secondsPerStep duration of a step.
 */
data class MovePrice(
    val secondsPerByte: Double = 2e-11,
    val layerSecondsPerStep: Double = 340e-6,
    val secondsPerStep: Double = 0.041,
) {
    /** Returns the time that one move of [bytes] costs, in seconds. */
    fun cost(bytes: Long): Double = bytes * secondsPerByte

    /** Returns the time that lowering a layer's skew by [skew] saves over [seconds], in seconds. */
    fun value(
        skew: Double,
        seconds: Double,
    ): Double = skew * layerSecondsPerStep * seconds / secondsPerStep
}
