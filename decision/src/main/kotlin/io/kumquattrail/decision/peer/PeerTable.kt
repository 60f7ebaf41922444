package io.kumquattrail.decision.peer

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks which other gateways are alive, and selects the peers with which to exchange state in each round.
 *
 * Load pattern: there are many gateways, some of them stopped, and each sends to only a few others in a round. It
 * prefers the live peers whose last messages are oldest, so that every pair exchanges state within a bounded number of
 * rounds. A part of each round goes to processes that are not known to be alive, so that new and returned ones are
 * found, and stopped ones never take the places of live peers.
 *
 * @property self this process.
 * @property seeds processes that the settings list; some may have stopped.
 * @property interval time between rounds.
 */
class PeerTable(
    private val self: ProcessName,
    var seeds: List<ProcessName>,
    private val interval: Duration,
) {
    private val lastMessages = HashMap<ProcessName, MonotonicTime>()
    private val lastReports = HashMap<ProcessName, MonotonicTime>()

    /** Returns the peers from which a message has been received recently. */
    fun alive(now: MonotonicTime): List<ProcessName> =
        lastMessages.filterValues { now - it < peerTimeout() }.keys.toList()

    /** Returns the peers with which to exchange state in the next round. */
    fun selectPeers(
        now: MonotonicTime,
        random: Random,
    ): List<ProcessName> {
        lastReports.values.removeAll { now - it > REPORT_LIFETIME }
        val live = alive(now)
        val notAlive = (seeds + lastReports.keys).toSet() - live.toSet() - self
        val probes = notAlive.shuffled(random).take(maxOf(PROBES_PER_ROUND, PEERS_PER_ROUND - live.size))
        val leastRecent = live.shuffled(random).sortedBy { lastMessages.getValue(it).nanoseconds }
        return leastRecent.take(PEERS_PER_ROUND - probes.size) + probes
    }

    /** Records a message of [peer] that lists [members]. Returns whether [peer] was not known to be alive before. */
    fun recordMessage(
        peer: ProcessName,
        members: List<ProcessName>,
        now: MonotonicTime,
    ): Boolean {
        members.forEach { lastReports[it] = now }
        return lastMessages.put(peer, now)?.let { now - it < peerTimeout() } != true
    }

    /** Records that [peer] is shutting down. Returns whether it was known to be alive. */
    fun recordStopping(peer: ProcessName): Boolean = lastMessages.remove(peer) != null

    /** Removes the peers whose timeout has expired and returns them with the times of their last messages. */
    fun removeLost(now: MonotonicTime): Map<ProcessName, MonotonicTime> =
        lastMessages.filterValues { now - it >= peerTimeout() }.also { lastMessages.keys.removeAll(it.keys) }

    /** Returns the time without a message after which a peer is lost: rounds for all live peers, plus [LOST_ROUNDS]. */
    private fun peerTimeout(): Duration =
        maxOf(MINIMUM_PEER_TIMEOUT, interval * (lastMessages.size / (PEERS_PER_ROUND - PROBES_PER_ROUND) + LOST_ROUNDS))

    private companion object {
        /** Largest number of peers in a round; bounds the messages in large fleets. */
        const val PEERS_PER_ROUND = 6

        /** Places in a round that are reserved for processes not known to be alive. */
        const val PROBES_PER_ROUND = 2

        /** Consecutive rounds that may fail although the peer is alive. */
        const val LOST_ROUNDS = 3

        /** Time without a message after which a peer of a small fleet is lost: three lost rounds and a lost packet. */
        val MINIMUM_PEER_TIMEOUT = 1_500.milliseconds

        /** Time for which a process is probed after the last message of another peer that lists it. */
        val REPORT_LIFETIME: Duration = 5.seconds
    }
}
