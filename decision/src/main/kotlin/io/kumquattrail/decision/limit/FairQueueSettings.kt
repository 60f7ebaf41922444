package io.kumquattrail.decision.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the bounds of a [FairQueue].
 *
 * @property mostItems items that wait at once.
 * @property longestWait estimated waiting time above which an item is rejected even if its caller would wait longer; a
 *   longer queue delays every first token and serves no more.
 * @property reservedShare share of the served tokens, and of [mostItems], that lower priorities keep while higher ones
 *   are in excess; without it a busy high priority starves the organisations below it.
 * @property initialTokensPerSecond drain rate that is assumed until the queue has measured its own.
 * @property rateWindow busy time over which the drain rate is averaged.
 * @property shortestRetryAfter shortest time that a rejection names.
 * @property longestRetryAfter longest time that a rejection names.
 */
data class FairQueueSettings(
    val mostItems: Int = 256,
    val longestWait: Duration = 1_500.milliseconds,
    val reservedShare: Double = 0.1,
    val initialTokensPerSecond: Double = 4_000.0,
    val rateWindow: Duration = 5.seconds,
    val shortestRetryAfter: Duration = 100.milliseconds,
    val longestRetryAfter: Duration = 30.seconds,
) {
    init {
        require(mostItems > 0) { "mostItems has to be positive" }
        require(longestWait.isFinite()) { "longestWait has to be finite" }
        require(reservedShare in 0.0..MOST_RESERVED_SHARE) { "reservedShare has to be in 0..$MOST_RESERVED_SHARE" }
    }

    private companion object {
        const val MOST_RESERVED_SHARE = 0.5
    }
}
