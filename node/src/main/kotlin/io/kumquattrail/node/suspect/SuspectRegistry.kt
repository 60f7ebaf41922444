package io.kumquattrail.node.suspect

import io.kumquattrail.decision.suspect.Crash
import io.kumquattrail.decision.suspect.ExecutionPolicy
import io.kumquattrail.decision.suspect.SuspectReport
import io.kumquattrail.decision.suspect.SuspectTracker
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.configuration.ExchangeAttachment
import io.kumquattrail.protocol.v1.ExchangeMessage
import io.kumquattrail.protocol.v1.Suspect
import kotlin.time.Duration.Companion.milliseconds

/** Lets many threads use one [SuspectTracker] and spreads what it knows with the exchange. */
class SuspectRegistry(
    private val clock: Clock,
    private val tracker: SuspectTracker = SuspectTracker(),
) : ExchangeAttachment {
    fun executionPolicy(fingerprint: String): ExecutionPolicy =
        synchronized(tracker) { tracker.executionPolicy(fingerprint, clock.monotonic()) }

    fun recordCrash(crash: Crash) = synchronized(tracker) { tracker.recordCrash(crash, clock.monotonic()) }

    fun recordCompletion(fingerprint: String) =
        synchronized(tracker) {
            tracker.recordCompletion(fingerprint, clock.monotonic())
        }

    override fun attach(message: ExchangeMessage.Builder) {
        val reports = synchronized(tracker) { tracker.reports(clock.monotonic(), MOST_REPORTS) }
        reports.forEach {
            message.addSuspects(
                Suspect
                    .newBuilder()
                    .setFingerprint(it.fingerprint)
                    .setCrashes(it.crashes)
                    .setBlocked(it.blocked)
                    .setAgeMilliseconds(it.age.inWholeMilliseconds),
            )
        }
    }

    override fun receive(message: ExchangeMessage) {
        if (message.suspectsCount == 0) return
        val reports =
            message.suspectsList.map {
                SuspectReport(it.fingerprint, it.crashes, it.blocked, it.ageMilliseconds.milliseconds)
            }
        synchronized(tracker) { tracker.merge(reports, clock.monotonic()) }
    }

    private companion object {
        // Bounds the control traffic: 16 reports take about 1.5 KB of each message while there are suspects at all.
        const val MOST_REPORTS = 16
    }
}
