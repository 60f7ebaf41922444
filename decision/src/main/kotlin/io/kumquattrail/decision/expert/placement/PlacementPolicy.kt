package io.kumquattrail.decision.expert.placement

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.popularity.Popularity

/** Plans where the experts of a group are placed. Implementations keep no state between plans. */
interface PlacementPolicy {
    /** Name in measurements and metrics. */
    val name: String

    /** Returns the plan for [input]; a plan with the present map asks for no change. */
    fun plan(input: PlacementInput): PlacementPlan
}

/**
 * Holds what a plan is made from.
 *
 * @property present map in use; `null` while the group has none.
 * @property popularity expected traffic; `null` before the first observation.
 * @property stagingPerRank expert copies that a rank can hold beyond its slots while the old and the new map both stand.
 * @property rankSpeeds relative speed of each rank, 1 for a rank that does not straggle.
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
 * @property moves expert copies that ranks have to load.
 * @property isChange whether the map differs from the present one.
 */
class PlacementPlan(
    val map: ExpertMap,
    val moves: Int,
    val isChange: Boolean,
)

/**
 * Holds what a moved byte costs and what removed skew is worth, both in seconds of step time of the whole group.
 *
 * @property secondsPerByte time by which the steps of the group are lengthened for each byte that a rank loads: the link
 *   and the memory bandwidth that the load takes, and its share of the rate-limited weight store.
 * @property layerSecondsPerStep time per step that the experts of one layer take on a perfectly balanced group.
 * @property secondsPerStep time per step.
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
