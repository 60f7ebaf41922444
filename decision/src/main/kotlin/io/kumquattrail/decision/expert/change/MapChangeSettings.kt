package io.kumquattrail.decision.expert.change

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of a [MapChangeCoordinator].
 *
 * @property retryInterval time after which an unanswered request is sent again.
 * @property loadPollInterval time between two queries whether a rank has loaded the weights.
 * @property backOffMinimum shortest pause after a rank has promised a higher number of another coordinator.
 * @property backOffMaximum longest such pause; the pause is random so that two coordinators do not collide repeatedly.
 * @property prepareTimeout time after which a change is aborted if any rank has not loaded the weights.
 * @property scheduleTimeout time after which a change is aborted if any rank has not promised the scheduled step.
 * @property marginSteps steps between the lowest step that every rank may promise and the scheduled step.
 * @property marginStepsMaximum upper bound of the margin, which doubles when a rank refuses the scheduled step as too
 *   early.
 */
data class MapChangeSettings(
    val retryInterval: Duration = 200.milliseconds,
    val loadPollInterval: Duration = 2.seconds,
    val backOffMinimum: Duration = 50.milliseconds,
    val backOffMaximum: Duration = 500.milliseconds,
    val prepareTimeout: Duration = 120.seconds,
    val scheduleTimeout: Duration = 2.seconds,
    val marginSteps: Int = 24,
    val marginStepsMaximum: Int = 384,
)
