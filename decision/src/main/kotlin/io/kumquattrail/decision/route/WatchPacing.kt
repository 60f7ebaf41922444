package io.kumquattrail.decision.route

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Says how long the next watch of the configuration waits for a change.
 *
 * Load pattern: a change ends the watches of all gateways in one moment, and the store falls silent later. With equal
 * waits the last confirmations of all gateways would be equally old. Spread ends make the youngest of them young, which
 * is what gateways tell one another, so that keys stay good for longer. Only the watch after a change is shorter, as
 * each call of the store has a price.
 *
 * @property longest wait of a watch without a change.
 */
class WatchPacing(
    private val longest: Duration,
    private val random: Random,
) {
    private var endsWithOthers = true

    /** Returns the wait of the next watch. */
    fun next(): Duration = if (endsWithOthers) longest * random.nextDouble(LEAST_SHARE, 1.0) else longest

    /** Records how the latest watch ended: with changes, of which all gateways hear in one moment, or without. */
    fun ended(withChange: Boolean) {
        endsWithOthers = withChange
    }

    private companion object {
        /** Least share of the longest wait; a shorter watch costs a call and confirms hardly more than the change did. */
        const val LEAST_SHARE = 0.2
    }
}
