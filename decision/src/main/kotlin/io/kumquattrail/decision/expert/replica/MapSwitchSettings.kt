package io.kumquattrail.decision.expert.replica

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timing and limits of a [MapSwitch].
 *
 * @property resendAfter time after which an order without a response is sent again.
 * @property prepareTimeout time within which all ranks must have copied their experts.
 * @property reportLag longest time by which reports lag behind; after it, a report shows the result of an order.
 * @property passesAhead number of passes from the estimated current pass to the one at which ranks switch.
 * @property mostHolds refused holds after which the switch is abandoned; one that is refused after an unknown outcome
 *   counts as several. Some refusals are expected: reports lag behind the group by several passes, so the first passes
 *   that are tried may already have begun.
 */
data class MapSwitchSettings(
    val resendAfter: Duration = 60.milliseconds,
    val prepareTimeout: Duration = 5.seconds,
    val reportLag: Duration = 350.milliseconds,
    val passesAhead: Long = 1,
    val mostHolds: Int = 48,
)
