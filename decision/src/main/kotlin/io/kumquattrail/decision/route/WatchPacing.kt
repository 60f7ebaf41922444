package io.kumquattrail.decision.route

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Chooses for how long the next watch of the configuration waits for a change.
 *
 * Load pattern: a change ends the watches of all gateways at the same time, and the configuration service stops
 * responding later. With equal waits, the last confirmations of all gateways would be equally old. With jitter, the
 * most recent one is later, and gateways report it to each other, so that keys are accepted for longer. Only the watch
 * after a change is shortened, as each call of the configuration service has a cost.
 *
 * @property longest wait of a watch that does not follow a change.
 */
class WatchPacing(
    private val longest: Duration,
    private val random: Random,
) {
    private var isAfterChange = true

    /** Returns the wait of the next watch. */
    fun next(): Duration = if (isAfterChange) longest * random.nextDouble(MINIMUM_FRACTION, 1.0) else longest

    /** Records how the latest watch ended: with a change, which all gateways receive at the same time, or without. */
    fun ended(withChange: Boolean) {
        isAfterChange = withChange
    }

    private companion object {
        /**
         * Shortest wait as a fraction of the longest. A shorter watch would cost a call, and its confirmation would
         * come hardly later than that of the change.
         */
        const val MINIMUM_FRACTION = 0.2
    }
}
