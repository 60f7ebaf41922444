package io.kumquattrail.decision.placement

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Knows the requests that this process and its peers have in progress at each backend server.
 *
 * @property peerMemory time for which a peer's counts are used after they were received. A peer that is gone has no
 *   requests in progress.
 */
class LoadTable(
    private val peerMemory: Duration = 2.seconds,
) {
    private val own = HashMap<ServerName, Int>()
    private val peers = HashMap<ProcessName, PeerLoad>()
    private val health = HashMap<ServerName, ServerHealth>()
    private val fullUntil = HashMap<ServerName, MonotonicTime>()

    /** This process's requests in progress, by server; servers without any are left out. */
    val ownInProgress: Map<ServerName, Int> get() = own

    /** Records that a request is sent to [server]. */
    fun started(server: ServerName) {
        own.merge(server, 1, Int::plus)
    }

    /** Records that a request to [server] has ended, in whatever way. */
    fun ended(server: ServerName) {
        val left = (own[server] ?: 0) - 1
        if (left > 0) own[server] = left else own.remove(server)
    }

    /** Takes in the requests that [peer] has in progress. */
    fun peerReported(
        peer: ProcessName,
        inProgress: Map<ServerName, Int>,
        now: MonotonicTime,
    ) {
        peers[peer] = PeerLoad(inProgress, now)
        peers.values.removeAll { now - it.receivedAt > peerMemory }
    }

    /** Records that [server] refused a request for lack of room; it counts as full for [duration]. */
    fun reportedFull(
        server: ServerName,
        duration: Duration,
        now: MonotonicTime,
    ) {
        fullUntil[server] = now + duration
    }

    /** Tells whether [server] has refused requests for lack of room a moment ago. */
    fun isReportedFull(
        server: ServerName,
        now: MonotonicTime,
    ): Boolean = fullUntil[server]?.let { now < it } ?: false

    /** Returns the requests that all known processes have in progress at [server]. */
    fun inProgress(
        server: ServerName,
        now: MonotonicTime,
    ): Int =
        (own[server] ?: 0) +
            peers.values.sumOf { load ->
                if (now - load.receivedAt > peerMemory) 0 else load.inProgress[server] ?: 0
            }

    /** Returns the health record of [server]. */
    fun health(server: ServerName): ServerHealth = health.getOrPut(server) { ServerHealth() }

    /** Forgets servers that are not in [known], except those with requests in progress. */
    fun keepOnly(known: Set<ServerName>) {
        health.keys.retainAll { it in known || it in own }
        fullUntil.keys.retainAll(known)
    }

    private class PeerLoad(
        val inProgress: Map<ServerName, Int>,
        val receivedAt: MonotonicTime,
    )
}
