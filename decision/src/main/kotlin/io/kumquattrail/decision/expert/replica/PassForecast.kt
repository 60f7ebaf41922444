package io.kumquattrail.decision.expert.replica

import kotlin.time.Duration

/**
 * Forecasts which pass a group has reached, from a report that lags behind by a time that is not known.
 *
 * Load pattern: popularity shifts every few seconds, and each change begins with the hold of a pass that has not begun.
 * A hold that comes too late is refused, has a price, and delays the change. One that is too far ahead only lets the
 * group run a few passes more. The lag is learned from the holds that were refused.
 *
 * @property longestLag lag that no report exceeds, so that holds refused for another reason do not delay later changes.
 */
class PassForecast(
    private val longestLag: Duration = MapSwitchSettings().reportLag,
) {
    private var lag = Duration.ZERO

    /** Returns the pass that the group has probably reached [age] after its report of [reported]. */
    fun reached(
        reported: Long,
        age: Duration,
        passTime: Duration,
    ): Long = if (passTime.isPositive()) reported + ((age + lag) / passTime).toLong() else reported

    /** Takes in that [refusals] holds were refused before one was accepted. */
    fun holdAccepted(
        refusals: Int,
        passTime: Duration,
    ) {
        val change = if (refusals > 0) passTime * refusals * LEARNING_SHARE else -passTime * FORGETTING_SHARE
        lag = (lag + change).coerceIn(Duration.ZERO, longestLag)
    }

    private companion object {
        /** Share of the passes by which a forecast was too low that the next one is higher. */
        const val LEARNING_SHARE = 0.5

        /** Share of a pass by which the next forecast is lower, as a forecast that is too high is not noticed. */
        const val FORGETTING_SHARE = 0.25
    }
}
