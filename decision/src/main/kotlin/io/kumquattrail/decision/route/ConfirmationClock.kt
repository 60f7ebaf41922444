package io.kumquattrail.decision.route

import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Measures how long ago the state of an outside service was confirmed.
 *
 * The monotonic clock stands still while a VM is suspended, and the wall clock can be set. The age is therefore the
 * larger of the two spans: a suspension shows on the wall clock, and a wall clock that is set back is outweighed by the
 * monotonic clock. A wall clock that jumps ahead makes the state look too old until the next confirmation, which is the
 * safe side.
 */
class ConfirmationClock {
    private var confirmedMonotonic: MonotonicTime? = null
    private var confirmedWall: WallTime? = null

    /** Records that the state was the newest at a moment, given as both clocks; a moment before the known one counts not. */
    fun confirmed(
        monotonic: MonotonicTime,
        wall: WallTime,
    ) {
        val known = confirmedMonotonic
        if (known != null && monotonic < known) return
        confirmedMonotonic = monotonic
        confirmedWall = wall
    }

    /** Returns the time since the last confirmation, or [Duration.INFINITE] before the first. */
    fun age(
        monotonic: MonotonicTime,
        wall: WallTime,
    ): Duration {
        val since = confirmedMonotonic ?: return Duration.INFINITE
        val sinceWall = confirmedWall ?: return Duration.INFINITE
        return maxOf(monotonic - since, wall - sinceWall, 0.nanoseconds)
    }
}
