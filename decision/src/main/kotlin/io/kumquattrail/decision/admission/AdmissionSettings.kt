package io.kumquattrail.decision.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of an [AdmissionController].
 *
 * @property completionsPerDoubling completed requests after which the cold limit doubles.
 * @property maximumSendDelay longest time from the grant to the send; a longer one means that the process was paused.
 * @property pauseThreshold interval without events that is taken as a pause of the process.
 * @property confirmationWait longest time for which work waits after a pause for the records to be confirmed.
 * @property observationInterval time between two reads of the server while a read is needed.
 * @property coldRetryAfter retry-after of work that a cold server does not take.
 * @property lateFactor factor over the expected time to first token that is a sign of a cold server.
 * @property lateMinimum time to first token that is never late.
 * @property serverCountDelay time after a send from which the server's own count certainly holds the work.
 * @property silenceFactor factor over the usual time between two answers that is a sign of a cold server.
 * @property silenceMinimum time without an answer that is never a sign.
 * @property silenceRequests requests in flight from which silence is a sign.
 * @property maximumRememberedIds attempts that are remembered, so that a duplicated message is recognised.
 */
data class AdmissionSettings(
    val completionsPerDoubling: Int = 8,
    val maximumSendDelay: Duration = 500.milliseconds,
    val pauseThreshold: Duration = 1.seconds,
    val confirmationWait: Duration = 2.seconds,
    val observationInterval: Duration = 250.milliseconds,
    val coldRetryAfter: Duration = 1.seconds,
    val lateFactor: Double = 6.0,
    val lateMinimum: Duration = 400.milliseconds,
    val serverCountDelay: Duration = 500.milliseconds,
    val silenceFactor: Double = 16.0,
    val silenceMinimum: Duration = 1.seconds,
    val silenceRequests: Int = 8,
    val maximumRememberedIds: Int = 4_096,
)
