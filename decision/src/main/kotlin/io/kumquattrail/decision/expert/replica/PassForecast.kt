package io.kumquattrail.decision.expert.replica

import kotlin.time.Duration

/**
 * Estimates which pass a group has reached, from a report that lags behind by an unknown time.
 *
 * Load pattern: popularity shifts every few seconds, and the ranks change maps at a held pass that has not begun yet. A
 * hold that arrives too late is refused, which costs an order and delays the change. A hold that is too far ahead only
 * lets the group run a few more passes on the old map. The lag is estimated from the number of refused holds.
 *
 * @property longestLag upper limit of the estimated lag, so that holds refused for other reasons do not delay later
 *   changes.
 */
class PassForecast(
    private val longestLag: Duration = MapSwitchSettings().reportLag,
) {
    private var lag = Duration.ZERO

    /**
     * Returns the pass that the group has probably reached.
     *
     * @param reported pass in the latest report.
     * @param age time since the report was received.
     * @param passTime duration of one pass; if it is zero, the result is [reported].
     */
    fun estimatePass(
        reported: Long,
        age: Duration,
        passTime: Duration,
    ): Long = if (passTime.isPositive()) reported + ((age + lag) / passTime).toLong() else reported

    /** Adjusts the estimated lag after a hold was accepted that followed [refusals] refused ones. */
    fun recordAcceptedHold(
        refusals: Int,
        passTime: Duration,
    ) {
        val change = if (refusals > 0) passTime * refusals * LEARNING_FRACTION else -passTime * DECAY_FRACTION
        lag = (lag + change).coerceIn(Duration.ZERO, longestLag)
    }

    private companion object {
        /** Fraction of a pass by which each refused hold raises the lag, as it shows a forecast one pass too low. */
        const val LEARNING_FRACTION = 0.5

        /** Fraction of a pass by which the next forecast is lowered, as nothing shows that a forecast is too high. */
        const val DECAY_FRACTION = 0.25
    }
}
