package io.kumquattrail.decision.warning

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of [BurnRateWarnings].
 *
 * @property shortWindow window that shows that a service level is missed now.
 * @property longWindow window that shows that it is missed for long enough to require an action.
 * @property shortBurnRate error rate over the short window, as a multiple of what the objective allows.
 * @property longBurnRate error rate over the long window, as a multiple of what the objective allows.
 * @property leastBadRequests missed requests in the short window below which a process does not raise a warning.
 * @property corroboratingShare share of the processes that must see the same condition; at least two in a
 *   fleet of three or more.
 * @property longestGrace longest time for which an automatic action delays a warning.
 * @property clearAfter time for which the service level is met before its warning clears.
 * @property validity time for which a peer's report counts.
 * @property raiseStep time for which the next process waits for the announcement of the one before it, longer than
 *   reports take to spread.
 */
data class BurnRateSettings(
    val shortWindow: Duration = 10.seconds,
    val longWindow: Duration = 60.seconds,
    val shortBurnRate: Double = 3.0,
    val longBurnRate: Double = 2.0,
    val leastBadRequests: Long = 5,
    val corroboratingShare: Double = 0.1,
    val longestGrace: Duration = 60.seconds,
    val clearAfter: Duration = 60.seconds,
    val validity: Duration = 15.seconds,
    val raiseStep: Duration = 3.seconds,
)
