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
 * rounds. A few places in each round are reserved for processes that are not known to be alive. New and returned
 * gateways are found through these places, and stopped ones take no place of a live peer.
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
    private val lastMentions = HashMap<ProcessName, MonotonicTime>()

    /** Returns the peers from which a message has been received recently. */
    fun alive(now: MonotonicTime): List<ProcessName> =
        lastMessages.filterValues { now - it < peerTimeout() }.keys.toList()

    /** Returns the peers with which to exchange state in the next round. */
    fun selectPeers(
        now: MonotonicTime,
        random: Random,
    ): List<ProcessName> {
        lastMentions.values.removeAll { now - it > MENTION_LIFETIME }
        val live = alive(now)
        val notAlive = (seeds + lastMentions.keys).toSet() - live.toSet() - self
        val probes = notAlive.shuffled(random).take(maxOf(PROBES_PER_ROUND, PEERS_PER_ROUND - live.size))
        val leastRecent = live.shuffled(random).sortedBy { lastMessages.getValue(it).nanoseconds }
        return leastRecent.take(PEERS_PER_ROUND - probes.size) + probes
    }

    /**
     * Records a message of [peer], which considers the gateways [members] alive.
     *
     * Returns whether [peer] was not known to be alive before.
     */
    fun recordMessage(
        peer: ProcessName,
        members: List<ProcessName>,
        now: MonotonicTime,
    ): Boolean {
        members.forEach { lastMentions[it] = now }
        return lastMessages.put(peer, now)?.let { now - it < peerTimeout() } != true
    }

    /** Records that [peer] is shutting down. Returns whether it was known to be alive. */
    fun recordStopping(peer: ProcessName): Boolean = lastMessages.remove(peer) != null

    /** Removes the peers whose timeout has expired and returns them with the times of their last messages. */
    fun removeLost(now: MonotonicTime): Map<ProcessName, MonotonicTime> =
        lastMessages.filterValues { now - it >= peerTimeout() }.also { lastMessages.keys.removeAll(it.keys) }

    /**
     * Returns the time without a message after which a peer is lost.
     *
     * It is the time of the rounds that reach all live peers once, plus [LOST_ROUNDS], and at least
     * [MINIMUM_PEER_TIMEOUT].
     */
    private fun peerTimeout(): Duration =
        maxOf(MINIMUM_PEER_TIMEOUT, interval * (lastMessages.size / (PEERS_PER_ROUND - PROBES_PER_ROUND) + LOST_ROUNDS))

    private companion object {
        /** Largest number of peers in a round; bounds the messages in large fleets. */
        const val PEERS_PER_ROUND = 6

        /** Places in a round that are reserved for processes not known to be alive. */
        const val PROBES_PER_ROUND = 2

        /** Consecutive rounds that may fail although the peer is alive. */
        const val LOST_ROUNDS = 3

        /**
         * Time without a message after which a peer of a small fleet is lost.
         *
         * It covers three failed rounds at an interval of 400 ms and a delay of 300 ms due to a lost packet.
         */
        val MINIMUM_PEER_TIMEOUT = 1_500.milliseconds

        /** Time for which a process is probed after the last message in which another peer lists it as alive. */
        val MENTION_LIFETIME: Duration = 5.seconds
    }
}
