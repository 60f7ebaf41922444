package io.kumquattrail.decision.placement

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts the requests that this process and its peers have in progress at each backend server.
 *
 * @property peerLoadExpiry time for which a peer's counts are used after they were received. A peer that has stopped
 *   has no requests in progress.
 */
class LoadTable(
    private val peerLoadExpiry: Duration = 2.seconds,
) {
    private val ownCounts = HashMap<ServerName, Int>()
    private val peerLoads = HashMap<ProcessName, PeerLoad>()
    private val health = HashMap<ServerName, ServerHealth>()
    private val fullUntil = HashMap<ServerName, MonotonicTime>()

    /** Requests of this process in progress, by server; servers without any are left out. */
    val ownInProgress: Map<ServerName, Int> get() = ownCounts

    /** Records that a request was sent to [server]. */
    fun started(server: ServerName) {
        ownCounts.merge(server, 1, Int::plus)
    }

    /** Records that a request to [server] has ended, whatever the outcome. */
    fun recordEnd(server: ServerName) {
        val remaining = (ownCounts[server] ?: 0) - 1
        if (remaining > 0) ownCounts[server] = remaining else ownCounts.remove(server)
    }

    /** Replaces the requests that [peer] has in progress, by server. */
    fun recordPeerLoad(
        peer: ProcessName,
        inProgress: Map<ServerName, Int>,
        now: MonotonicTime,
    ) {
        peerLoads[peer] = PeerLoad(inProgress, now)
        peerLoads.values.removeAll { now - it.receivedAt > peerLoadExpiry }
    }

    /** Records that [server] refused a request for lack of capacity; it counts as full for [duration]. */
    fun markFull(
        server: ServerName,
        duration: Duration,
        now: MonotonicTime,
    ) {
        fullUntil[server] = now + duration
    }

    /** Returns whether [server] still counts as full after refusing a request for lack of capacity. */
    fun isReportedFull(
        server: ServerName,
        now: MonotonicTime,
    ): Boolean = fullUntil[server]?.let { now < it } ?: false

    /** Returns the number of requests in progress at [server], of this process and its peers. */
    fun inProgress(
        server: ServerName,
        now: MonotonicTime,
    ): Int =
        (ownCounts[server] ?: 0) +
            peerLoads.values.sumOf { load ->
                if (now - load.receivedAt > peerLoadExpiry) 0 else load.inProgress[server] ?: 0
            }

    /** Returns the health record of [server]. */
    fun health(server: ServerName): ServerHealth = health.getOrPut(server) { ServerHealth() }

    /**
     * Drops the state of servers that are not in [registered]. The health record of a server is kept while this process
     * has requests in progress there.
     */
    fun retainServers(registered: Set<ServerName>) {
        health.keys.retainAll { it in registered || it in ownCounts }
        fullUntil.keys.retainAll(registered)
    }

    private class PeerLoad(
        val inProgress: Map<ServerName, Int>,
        val receivedAt: MonotonicTime,
    )
}
