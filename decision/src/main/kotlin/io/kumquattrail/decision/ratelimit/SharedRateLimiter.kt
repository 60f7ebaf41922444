package io.kumquattrail.decision.ratelimit

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Keeps the requests of all gateways together to a server within the rate that the server has named.
 *
 * Gateways do not agree on shares. Each computes them from the gateways that it knows to be alive: for each server, the
 * first of them by rendezvous hashing are its senders, and each sender has an equal part of the rate. All senders
 * together may send [BURST_SECONDS] times the rate and [EXTRA_BURST] requests at once. There are at most as many senders
 * as that burst has requests, since every sender may at some time send a request at once.
 *
 * A gateway that becomes a sender of a server starts without a burst, as the sender before it may have used its own.
 * One that reaches no other gateway is probably cut off: it counts itself as a sender and divides the rate by the largest
 * number of gateways that it has known.
 *
 * @property self this process.
 * @param minimumProcesses number of gateways named in the settings, this one included.
 */
class SharedRateLimiter(
    private val self: ProcessName,
    minimumProcesses: Int = 1,
) {
    private val buckets = HashMap<ServerName, Bucket>()
    private val lastAlive = HashMap<ProcessName, MonotonicTime>()
    private var alive = setOf(self)
    private var largestCount = minimumProcesses
    private var processes = minimumProcesses

    /** Records the [peers] that are alive. */
    fun updateMembers(
        peers: Collection<ProcessName>,
        now: MonotonicTime,
    ) {
        lastAlive.values.removeAll { now - it > SHARE_RETENTION }
        peers.forEach { lastAlive[it] = now }
        largestCount = maxOf(largestCount, lastAlive.size + 1)
        processes = if (peers.isEmpty()) largestCount else lastAlive.size + 1
        val members = peers.toSet() + self
        if (members == alive) return
        alive = members
        buckets.values.forEach { it.isSender = null }
    }

    /** Returns whether this gateway may send [server] a request now, if all may send it [limit] per second. */
    fun mayStart(
        server: ServerName,
        limit: Double,
        now: MonotonicTime,
    ): Boolean = !timeToNext(server, limit, now).isPositive()

    /**
     * Returns the time after which this gateway may send [server] a request; infinite while other gateways are the
     * senders of the server.
     */
    fun timeToNext(
        server: ServerName,
        limit: Double,
        now: MonotonicTime,
    ): Duration {
        val rate = maxOf(limit, LEAST_RATE)
        val totalBurst = rate * BURST_SECONDS + EXTRA_BURST
        val senders = if (alive.size == 1) processes else minOf(processes, totalBurst.toInt())
        val bucket = buckets.getOrPut(server) { Bucket(now) }
        if (!isSender(server, bucket, senders, now)) return Duration.INFINITE
        bucket.refill(requestsPerSecond = rate / senders, depth = maxOf(totalBurst / senders, 1.0), now = now)
        return bucket.timeToNext(rate / senders)
    }

    /** Records that a request was sent to [server]. */
    fun recordSend(server: ServerName) {
        buckets[server]?.take()
    }

    /** Drops the state of servers that are not in [registered]. */
    fun retainServers(registered: Set<ServerName>) {
        buckets.keys.retainAll(registered)
    }

    private fun isSender(
        server: ServerName,
        bucket: Bucket,
        senders: Int,
        now: MonotonicTime,
    ): Boolean {
        val known = bucket.isSender
        if (known != null && bucket.senders == senders) return known
        val isSender = self in RendezvousHash.rank(server.value, alive) { it.value }.take(senders)
        if (isSender && !bucket.wasSender) bucket.empty(now)
        bucket.isSender = isSender
        bucket.wasSender = isSender
        bucket.senders = senders
        return isSender
    }

    /** This gateway's part of the rate of one server, as a token bucket. */
    private class Bucket(
        private var refilledAt: MonotonicTime,
    ) {
        /** Requests that may be sent now; below 0 after requests that were placed in the same moment. */
        private var requests = 0.0

        /** Whether this gateway is a sender; `null` until it is determined for the current members. */
        var isSender: Boolean? = null

        /** The same for the members before. */
        var wasSender = false

        /** Number of senders for which [isSender] was determined. */
        var senders = 0

        fun empty(now: MonotonicTime) {
            requests = minOf(requests, 0.0)
            refilledAt = now
        }

        fun refill(
            requestsPerSecond: Double,
            depth: Double,
            now: MonotonicTime,
        ) {
            val elapsed = (now - refilledAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
            requests = minOf(requests + elapsed * requestsPerSecond, depth)
            refilledAt = now
        }

        fun take() {
            requests -= 1.0
        }

        fun timeToNext(requestsPerSecond: Double): Duration =
            if (requests >= 1.0 - ROUNDING) Duration.ZERO else ((1.0 - requests) / requestsPerSecond).seconds
    }

    private companion object {
        /** Burst of all senders together, in seconds of the rate. */
        const val BURST_SECONDS = 2.0

        /** Requests of the burst beyond [BURST_SECONDS]. */
        const val EXTRA_BURST = 2.0

        /** Requests per second to a server that takes none; only an answer shows that its limit has ended. */
        const val LEAST_RATE = 0.25

        /** Time for which a gateway keeps its part of the rate after it was last alive; it may only be cut off. */
        val SHARE_RETENTION = 10.seconds

        /** Tolerance for the sum of many small refills. */
        const val ROUNDING = 1e-6
    }
}
