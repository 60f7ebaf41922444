package io.kumquattrail.decision.expert.change

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of a [MapGuard].
 *
 * @property checksFencing whether the engine refuses old fencing numbers; taken from the server's record.
 * @property permitWindowSteps number of steps that are permitted from the engine's last reported step on. All versions
 *   of the agent must use the same value: a new agent relies on it to bound which steps its predecessor may have
 *   permitted.
 * @property readInterval time between two reads of the engine's state.
 * @property askInterval time between two requests for an unknown outcome.
 * @property ranksPerOutcomeRequest number of ranks that each request for an outcome is sent to.
 * @property loadRetryInterval time after which a load of a committed map is requested again.
 */
data class MapGuardSettings(
    val checksFencing: Boolean = false,
    val permitWindowSteps: Int = 16,
    val readInterval: Duration = 100.milliseconds,
    val askInterval: Duration = 200.milliseconds,
    val ranksPerOutcomeRequest: Int = 4,
    val loadRetryInterval: Duration = 30.seconds,
)
