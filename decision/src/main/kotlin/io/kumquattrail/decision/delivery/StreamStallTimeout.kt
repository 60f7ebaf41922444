package io.kumquattrail.decision.delivery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Computes the time without an event after which a stream is considered stalled.
 *
 * Load pattern: some servers stall in the middle of their streams, and a few of these still send a byte now and then,
 * while others are slow but healthy. Only complete events count as progress, and the time depends on the pauses of the
 * same stream, so that a slow stream is not aborted.
 *
 * @property minimum shortest such time. It covers a pause in which the server both switches expert maps and processes a
 *   long prompt, and it ends before callers disconnect from a stalled stream.
 */
class StreamStallTimeout(
    private val minimum: Duration = 1.seconds,
) {
    private var longestPause = Duration.ZERO

    /** Records a pause between two events. */
    fun recordPause(pause: Duration) {
        longestPause = maxOf(longestPause, pause)
    }

    /** Time after the last event at which the stream is considered stalled. */
    val limit: Duration get() = maxOf(minimum, longestPause * LONGEST_PAUSE_FACTOR)

    private companion object {
        /** Multiple of its longest pause so far that a healthy stream does not exceed. */
        const val LONGEST_PAUSE_FACTOR = 3
    }
}
