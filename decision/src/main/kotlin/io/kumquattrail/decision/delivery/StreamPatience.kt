package io.kumquattrail.decision.delivery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides how long the next event of a stream may take before the stream counts as stalled.
 *
 * Load pattern: some servers stall in the middle of their streams, a few of them with a byte now and then, while others
 * are slow but sound. Only whole events count as progress, and each stream is measured against its own pace, so that a
 * slow one is not cut.
 *
 * @property least shortest patience, which covers a switch of maps and a long prompt that is read in between.
 */
class StreamPatience(
    private val least: Duration = 1.seconds,
) {
    private var longestPause = Duration.ZERO

    /** Takes in a pause between two events. */
    fun observed(pause: Duration) {
        longestPause = maxOf(longestPause, pause)
    }

    /** Time from the last event after which the stream counts as stalled. */
    val limit: Duration get() = maxOf(least, longestPause * SLOWDOWN)

    private companion object {
        /** Ratio to the longest pause so far that a sound stream does not exceed. */
        const val SLOWDOWN = 3
    }
}
