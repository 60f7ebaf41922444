package io.kumquattrail.decision.configuration

import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when a process reads the configuration service.
 *
 * Readers watch the service. Every other process reads it at a random time whose mean grows with the fleet, so that the
 * rate over the whole fleet does not depend on its size.
 */
internal class ServiceReadSchedule(
    private val self: Peer,
    private val random: Random,
    private val settings: ExchangeSettings,
) {
    private var fleetProcesses = settings.unknownFleetProcesses
    private var failures = 0
    private var outstandingUntil: MonotonicTime? = null
    private var allowed = false

    /** Whether this process is one of the readers of its zone. */
    var isReader: Boolean = false
        private set

    /** Time of the next read, or `null` while no read is due. */
    var nextRead: MonotonicTime? = null
        private set

    /** Time of the next change of this schedule. */
    val nextEvent: MonotonicTime? get() = outstandingUntil ?: nextRead

    fun peersChanged(
        peers: Collection<Peer>,
        now: MonotonicTime,
    ) {
        fleetProcesses = if (peers.isEmpty()) settings.unknownFleetProcesses else peers.size + 1
        val wasReader = isReader
        isReader = peers.isNotEmpty() && self in readers(peers)
        if (allowed && outstandingUntil == null && isReader && !wasReader) {
            nextRead = now + settings.readerPause * random.nextDouble()
        }
    }

    /** Permits reads from now on, such as when enough peers have been asked. */
    fun allow(
        now: MonotonicTime,
        hasRecords: Boolean,
    ) {
        if (allowed) return
        allowed = true
        nextRead =
            when {
                isReader -> now + settings.firstReadDelay * (random.nextDouble() * READER_START_SPREAD)
                hasRecords -> now + jittered(otherInterval())
                else -> now + settings.firstReadDelay + firstReadSpread() * random.nextDouble()
            }
    }

    /** Returns the wait of a read that is to start now, or `null` when none is due. */
    fun read(
        now: MonotonicTime,
        hasRecords: Boolean,
    ): Duration? {
        outstandingUntil?.let { if (it <= now) failed(now, hasRecords) }
        if (!allowed || outstandingUntil != null || nextRead?.let { it <= now } != true) return null
        val wait = if (isReader && failures == 0) settings.watchTime else Duration.ZERO
        outstandingUntil = now + wait + settings.serviceAnswerTimeout
        nextRead = null
        return wait
    }

    /** Takes in that the service answered. */
    fun answered(now: MonotonicTime) {
        failures = 0
        outstandingUntil = null
        nextRead = now + jittered(if (isReader) settings.readerPause else otherInterval())
    }

    /** Takes in that the service did not answer or answered with an error. */
    fun failed(
        now: MonotonicTime,
        hasRecords: Boolean,
    ) {
        failures = (failures + 1).coerceAtMost(FAILURES_COUNTED_MOST)
        outstandingUntil = null
        val pause =
            when {
                isReader -> (settings.readerPause * (1 shl failures)).coerceAtMost(settings.readerRetryLongest)
                hasRecords -> otherInterval()
                else -> maxOf(settings.firstReadDelay, firstReadSpread())
            }
        nextRead = now + jittered(pause)
    }

    /** Takes in that a peer had something newer, which makes the own read unnecessary for a while. */
    fun learnedFromPeer(now: MonotonicTime) {
        if (allowed && !isReader && outstandingUntil == null) nextRead = now + jittered(otherInterval())
    }

    // Agents without organisation records cannot supply gateways, so the readers of a zone are gateways where it has any.
    private fun readers(peers: Collection<Peer>): List<Peer> =
        RendezvousHash
            .rank("readers/${self.zone}", (peers + self).filter { it.zone == self.zone }) { it.name.value }
            .sortedBy { it.subscription.excludedKinds.size }
            .take(settings.readersPerZone)

    private fun otherInterval(): Duration =
        maxOf(settings.otherReadInterval, settings.otherReadSpacing * fleetProcesses)

    private fun firstReadSpread(): Duration = settings.firstReadSpacing * fleetProcesses

    private fun jittered(mean: Duration): Duration =
        (mean * (JITTER_LOWEST + random.nextDouble())).coerceAtLeast(1.milliseconds)

    private companion object {
        const val JITTER_LOWEST = 0.5
        const val READER_START_SPREAD = 0.1
        const val FAILURES_COUNTED_MOST = 10
    }
}
