package io.kumquattrail.decision.route

import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Measures the time since the local copy of an external service's state was last confirmed to be the newest.
 *
 * The monotonic clock stands still while a VM is suspended, and the wall clock can be set. The age is therefore the
 * larger of the two spans: a suspension shows on the wall clock, and if the wall clock is set back, the monotonic clock
 * gives the larger span. A wall clock that jumps ahead makes the state look too old until the next confirmation, which
 * errs on the safe side.
 */
class ConfirmationClock {
    private var confirmedMonotonic: MonotonicTime? = null
    private var confirmedWall: WallTime? = null

    /** Records that the state was the newest at a time, given on both clocks. Times before the last one are ignored. */
    fun recordConfirmation(
        monotonic: MonotonicTime,
        wall: WallTime,
    ) {
        val previous = confirmedMonotonic
        if (previous != null && monotonic < previous) return
        confirmedMonotonic = monotonic
        confirmedWall = wall
    }

    /** Returns the time since the last confirmation, or [Duration.INFINITE] before the first. */
    fun age(
        monotonic: MonotonicTime,
        wall: WallTime,
    ): Duration {
        val lastMonotonic = confirmedMonotonic ?: return Duration.INFINITE
        val lastWall = confirmedWall ?: return Duration.INFINITE
        return maxOf(monotonic - lastMonotonic, wall - lastWall, 0.nanoseconds)
    }
}
