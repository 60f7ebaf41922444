package io.kumquattrail.decision.peer

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Knows which other gateways live, and chooses the ones to exchange state with.
 *
 * Load pattern: many gateways, each with messages for a few of the others only, while some are gone. A gateway prefers
 * peers that it has not heard from the longest, so that every pair meets within a known number of rounds; part of each
 * round goes to processes that it has not heard from, so that new and returned ones are found and dead ones never take
 * the place of the living.
 *
 * @property own this process.
 * @property seeds processes that the settings name; some may be gone.
 * @property interval time between rounds.
 */
class PeerTable(
    private val own: ProcessName,
    var seeds: List<ProcessName>,
    private val interval: Duration,
) {
    private val heard = HashMap<ProcessName, MonotonicTime>()
    private val hearsay = HashMap<ProcessName, MonotonicTime>()

    /** Returns the processes that were heard from a moment ago, without this one. */
    fun alive(now: MonotonicTime): List<ProcessName> = heard.filterValues { now - it < aliveFor() }.keys.toList()

    /** Returns the peers of the next round. */
    fun partners(
        now: MonotonicTime,
        random: Random,
    ): List<ProcessName> {
        hearsay.values.removeAll { now - it > HEARSAY_FOR }
        val living = alive(now)
        val unknown = (seeds + hearsay.keys).toSet() - living.toSet() - own
        val probes = unknown.shuffled(random).take(maxOf(PROBES, PARTNERS - living.size))
        val overdue = living.shuffled(random).sortedBy { heard.getValue(it).nanoseconds }
        return overdue.take(PARTNERS - probes.size) + probes
    }

    /** Takes in a message of [peer], which knows [members]. Returns whether [peer] was not known to live before. */
    fun heard(
        peer: ProcessName,
        members: List<ProcessName>,
        now: MonotonicTime,
    ): Boolean {
        members.forEach { hearsay[it] = now }
        return heard.put(peer, now)?.let { now - it < aliveFor() } != true
    }

    /** Takes in that [peer] is shutting down. Returns whether it was known to live before. */
    fun stopping(peer: ProcessName): Boolean = heard.remove(peer) != null

    /** Forgets the peers that have been silent for too long and returns them with the time of their last message. */
    fun removeLost(now: MonotonicTime): Map<ProcessName, MonotonicTime> =
        heard.filterValues { now - it >= aliveFor() }.also { heard.keys.removeAll(it.keys) }

    /** Returns the silence after which a peer counts as gone; the rounds that meet all peers, and three lost ones. */
    private fun aliveFor(): Duration = maxOf(ALIVE_FOR, interval * (heard.size / (PARTNERS - PROBES) + LOST_ROUNDS))

    private companion object {
        /** Peers that one round reaches; bounds messages in large fleets. */
        const val PARTNERS = 6

        /** Peers of a round that were not heard from, if there are any. */
        const val PROBES = 2

        /** Rounds in a row that may fail for reasons other than the peer's end. */
        const val LOST_ROUNDS = 3

        /** Silence after which a peer of a small fleet counts as gone: three missed rounds and a lost packet. */
        val ALIVE_FOR = 1_500.milliseconds

        /** Time for which processes are called that only others have heard from. */
        val HEARSAY_FOR: Duration = 5.seconds
    }
}
