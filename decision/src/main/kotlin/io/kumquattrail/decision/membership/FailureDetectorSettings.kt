package io.kumquattrail.decision.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the rates and bounds of failure detection.
 *
 * @property probeInterval time between two probes of this process.
 * @property probeTimeout time after which a probe is sent through helpers as well.
 * @property helpers peers through which an unanswered probe is sent again.
 * @property suspicionTime time between a suspicion and the check that precedes the verdict.
 * @property checkPeers peers in the whole fleet that are probed before a verdict.
 * @property checkZonePeers peers in the suspected process's zone that are probed before a verdict.
 * @property checkSilentMost silent peers in the fleet with which a verdict is still given.
 * @property checkSilentZoneMost silent peers in the zone with which a verdict is still given.
 * @property recheckLongest longest time between two checks while verdicts are suspended.
 * @property updateBytes largest size of the updates in one message, in bytes.
 * @property sendsPerLogarithm how often an update is passed on, per natural logarithm of the fleet's size.
 * @property deadProbeInterval time between probes of processes that are believed dead.
 * @property pauseSuspected time without a call after which this process takes itself to have been paused.
 */
data class FailureDetectorSettings(
    val probeInterval: Duration = 1.seconds,
    val probeTimeout: Duration = 300.milliseconds,
    val helpers: Int = 3,
    val suspicionTime: Duration = 3.seconds,
    val checkPeers: Int = 16,
    val checkZonePeers: Int = 8,
    val checkSilentMost: Int = 1,
    val checkSilentZoneMost: Int = 2,
    val recheckLongest: Duration = 30.seconds,
    val updateBytes: Int = 400,
    val sendsPerLogarithm: Double = 3.0,
    val deadProbeInterval: Duration = 10.seconds,
    val pauseSuspected: Duration = 2.seconds,
)
