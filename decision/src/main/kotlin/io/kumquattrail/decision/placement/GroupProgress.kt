package io.kumquattrail.decision.placement

import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Knows which servers work in lockstep, and which of their groups stand still.
 *
 * Load pattern: a rank of a group fails under load. All ranks of its group write nothing for over a second and then
 * refuse everything until the group has formed anew, while another group of the service goes on. New requests and broken
 * streams go to the other group; the one that refuses gets one request now and then, to see whether it works again.
 * Callers that find no group working are told to return when one has probably formed anew.
 *
 * @property stallsAfter silence of all streams of a group after which it counts as stalled; several passes of a slow
 *   group, and less than the time for which ranks wait for a failed one.
 * @property trialInterval time between requests to a group that has refused.
 * @property firstOutage time from a group's first refusal to its return that is assumed before one was observed: a
 *   failed rank restarts and its group forms.
 */
class GroupProgress(
    private val stallsAfter: Duration = 600.milliseconds,
    private val trialInterval: Duration = 200.milliseconds,
    firstOutage: Duration = 2.2.seconds,
) {
    private var usualOutage = firstOutage
    private val groups = HashMap<GroupName, Group>()
    private var membership: Map<ServerName, GroupName> = emptyMap()

    /** Group of each server, as far as it is known. */
    val members: Map<ServerName, GroupName> get() = membership

    /** Takes in which servers form groups. */
    fun formed(members: Map<ServerName, GroupName>) {
        if (members == membership) return
        membership = members.toMap()
        groups.keys.retainAll(members.values.toSet())
    }

    /** Records that [server] has written an event of a stream or a whole response. */
    fun progressed(
        server: ServerName,
        now: MonotonicTime,
    ) {
        val group = group(server) ?: return
        group.progressedAt = now
        group.refusedSince?.let { usualOutage += (now - it - usualOutage) * OBSERVATION_WEIGHT }
        group.refusedSince = null
    }

    /** Records that a stream that [server] writes has begun. */
    fun streamBegan(server: ServerName) {
        group(server)?.let { it.streams += 1 }
    }

    /** Records that a stream that [server] wrote has ended, in whatever way. */
    fun streamEnded(server: ServerName) {
        group(server)?.let { it.streams = maxOf(0, it.streams - 1) }
    }

    /** Records that [server] has refused a request because a rank of its group has failed. */
    fun refused(
        server: ServerName,
        now: MonotonicTime,
    ) {
        val group = group(server) ?: return
        group.refusedSince = group.refusedSince?.takeIf { now - it < FORGOTTEN_AFTER } ?: now
        group.triedAt = now
    }

    /** Records that a request is sent to [server]. */
    fun sent(
        server: ServerName,
        now: MonotonicTime,
    ) {
        group(server)?.triedAt = now
    }

    /** Tells whether all streams of the group of [server] are silent, so that another group is better. */
    fun isStalled(
        server: ServerName,
        now: MonotonicTime,
    ): Boolean {
        val group = group(server) ?: return false
        return group.streams >= LEAST_STREAMS && now - group.progressedAt > stallsAfter
    }

    /** Tells whether the group of [server] refuses requests, and has had one a moment ago to see whether it still does. */
    fun refuses(
        server: ServerName,
        now: MonotonicTime,
    ): Boolean {
        val group = group(server) ?: return false
        val since = group.refusedSince ?: return false
        return now - since < FORGOTTEN_AFTER && now - group.triedAt < trialInterval
    }

    /**
     * Returns the time in which the first of the groups of [servers] has probably formed anew, or `null` when none of
     * them is known to refuse.
     */
    fun returnsIn(
        servers: Collection<ServerName>,
        now: MonotonicTime,
    ): Duration? =
        servers
            .mapNotNull { group(it)?.refusedSince }
            .distinct()
            .minOfOrNull { since ->
                val lasted = now - since
                // An outage that has lasted longer than usual tells only that it is a long one.
                if (lasted < usualOutage) usualOutage - lasted else lasted * LONGER_BY
            }?.coerceIn(SHORTEST_RETURN, LONGEST_RETURN)

    private fun group(server: ServerName): Group? = membership[server]?.let { groups.getOrPut(it, ::Group) }

    private class Group {
        var streams = 0
        var progressedAt = MonotonicTime(Long.MIN_VALUE / 2)
        var refusedSince: MonotonicTime? = null
        var triedAt = MonotonicTime(Long.MIN_VALUE / 2)
    }

    private companion object {
        /** Streams that must all be silent; a single one may have ended without a word. */
        const val LEAST_STREAMS = 2

        /** An outage that has lasted longer than this is not believed without another refusal. */
        val FORGOTTEN_AFTER = 10.seconds

        /** Weight of an observed outage against those before. */
        const val OBSERVATION_WEIGHT = 0.3

        /** Share of its present length by which an outage goes on that is longer than usual. */
        const val LONGER_BY = 0.5

        /** Shortest time that a caller is told to wait; a group that is due may need another try. */
        val SHORTEST_RETURN = 300.milliseconds

        /** Longest time that a caller is told to wait; callers honour a third of their time, which is 8 s at most. */
        val LONGEST_RETURN = 2.6.seconds
    }
}
