package io.kumquattrail.decision.placement

import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks which servers work in lockstep as a group, and which groups are stalled or refuse requests.
 *
 * Load pattern: a rank of a group fails under load. All ranks of its group write nothing for over a second and then
 * refuse everything until the group has formed again, while another group of the service continues. New requests and
 * interrupted streams go to the other group; the one that refuses gets a probe request at intervals, which shows
 * whether it works again. When no group works, callers are told to retry when one is expected to have formed again.
 *
 * @property stallTimeout time without an event on any stream of a group after which the group counts as stalled. It
 *   covers several passes of a slow group, and is shorter than the time for which ranks wait for a failed one.
 * @property probeInterval time between two requests to a group that refuses requests.
 * @property initialOutage assumed time from a group's first refusal to its recovery until the first outage has been
 *   measured. In it, a failed rank restarts and its group forms.
 */
class GroupProgress(
    private val stallTimeout: Duration = 600.milliseconds,
    private val probeInterval: Duration = 200.milliseconds,
    initialOutage: Duration = 2.2.seconds,
) {
    private var averageOutage = initialOutage
    private val groups = HashMap<GroupName, Group>()
    private var membership: Map<ServerName, GroupName> = emptyMap()

    /** Group of each server; servers whose group has not been reported are left out. */
    val members: Map<ServerName, GroupName> get() = membership

    /** Replaces the group of each server. State of groups without a server is dropped. */
    fun updateMembers(members: Map<ServerName, GroupName>) {
        if (members == membership) return
        membership = members.toMap()
        groups.keys.retainAll(members.values.toSet())
    }

    /** Records that [server] has written an event of a stream or a complete response. */
    fun recordProgress(
        server: ServerName,
        now: MonotonicTime,
    ) {
        val group = group(server) ?: return
        group.lastProgressAt = now
        group.refusedSince?.let { averageOutage += (now - it - averageOutage) * LATEST_OUTAGE_WEIGHT }
        group.refusedSince = null
    }

    /** Records that a stream from [server] has started. */
    fun onStreamStart(server: ServerName) {
        group(server)?.let { it.streams += 1 }
    }

    /** Records that a stream from [server] has ended, whether complete or not. */
    fun onStreamEnd(server: ServerName) {
        group(server)?.let { it.streams = maxOf(0, it.streams - 1) }
    }

    /** Records that [server] has refused a request because a rank of its group has failed. */
    fun recordRefusal(
        server: ServerName,
        now: MonotonicTime,
    ) {
        val group = group(server) ?: return
        group.refusedSince = group.refusedSince?.takeIf { now - it < REFUSAL_EXPIRY } ?: now
        group.lastAttemptAt = now
    }

    /** Records that a request was sent to [server]. */
    fun recordSend(
        server: ServerName,
        now: MonotonicTime,
    ) {
        group(server)?.lastAttemptAt = now
    }

    /** Returns whether the group of [server] is stalled: it has several streams, and none has had an event in time. */
    fun isStalled(
        server: ServerName,
        now: MonotonicTime,
    ): Boolean {
        val group = group(server) ?: return false
        return group.streams >= MINIMUM_STREAMS && now - group.lastProgressAt > stallTimeout
    }

    /** Returns whether the group of [server] refuses requests and the next probe request is not due yet. */
    fun refuses(
        server: ServerName,
        now: MonotonicTime,
    ): Boolean {
        val group = group(server) ?: return false
        val since = group.refusedSince ?: return false
        return now - since < REFUSAL_EXPIRY && now - group.lastAttemptAt < probeInterval
    }

    /**
     * Returns the expected time until the first of the refusing groups of [servers] has formed again, or `null` when
     * none of them has refused a request.
     */
    fun estimatedRecovery(
        servers: Collection<ServerName>,
        now: MonotonicTime,
    ): Duration? =
        servers
            .mapNotNull { group(it)?.refusedSince }
            .distinct()
            .minOfOrNull { since ->
                val elapsed = now - since
                // For an outage longer than the average, the expected remainder grows with its length so far.
                if (elapsed < averageOutage) averageOutage - elapsed else elapsed * LONG_OUTAGE_FRACTION
            }?.coerceIn(MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER)

    private fun group(server: ServerName): Group? = membership[server]?.let { groups.getOrPut(it, ::Group) }

    private class Group {
        var streams = 0
        var lastProgressAt = MonotonicTime(Long.MIN_VALUE / 2)
        var refusedSince: MonotonicTime? = null
        var lastAttemptAt = MonotonicTime(Long.MIN_VALUE / 2)
    }

    private companion object {
        /** Fewest open streams from which a stall is inferred; a single one may have ended without notice. */
        const val MINIMUM_STREAMS = 2

        /** Time since the first refusal after which a group counts as working unless it refuses another request. */
        val REFUSAL_EXPIRY = 10.seconds

        /** Weight of the latest outage in the moving average. */
        const val LATEST_OUTAGE_WEIGHT = 0.3

        /** Expected remainder of an outage longer than the average, as a fraction of its length so far. */
        const val LONG_OUTAGE_FRACTION = 0.5

        /** Shortest time that a caller is told to wait; a group that is due may need another probe request. */
        val MINIMUM_RETRY_AFTER = 300.milliseconds

        /** Longest time that a caller is told to wait; callers honour at most a third of their timeout of up to 8 s. */
        val MAXIMUM_RETRY_AFTER = 2.6.seconds
    }
}
