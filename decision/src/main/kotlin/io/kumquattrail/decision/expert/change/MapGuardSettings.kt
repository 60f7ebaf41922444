package io.kumquattrail.decision.expert.change

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of a [MapGuard].
 *
 * @property checksFencing whether the engine refuses old fencing numbers, from the server's record.
 * @property permitWindowSteps steps that are permitted ahead of the engine's last reported step. All versions of the
 *   agent must use the same value: a new agent relies on it to bound what its predecessor may have permitted.
 * @property readInterval time between two reads of the engine's state.
 * @property askedRanks ranks that are asked at once.
 * @property loadRetryInterval time after which a load of a committed map is requested again.
 * @property askInterval time between two requests for an unknown outcome.
 */
data class MapGuardSettings(
    val checksFencing: Boolean = false,
    val permitWindowSteps: Int = 16,
    val readInterval: Duration = 100.milliseconds,
    val askInterval: Duration = 200.milliseconds,
    val askedRanks: Int = 4,
    val loadRetryInterval: Duration = 30.seconds,
)
