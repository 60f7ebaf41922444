package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Another gateway that could keep the expert maps.
 *
 * @property keepsMaps whether it says that it keeps them.
 */
data class MapKeeperCandidate(
    val process: ProcessName,
    val keepsMaps: Boolean,
)

/** Says what a gateway does about expert maps. */
enum class MapRole {
    /** Another gateway keeps them, or this one cannot. */
    FOLLOWS,

    /** This gateway is the first of all, and waits whether another one shows up. */
    SETTLES,

    /** This gateway keeps them. */
    KEEPS,
}

/**
 * Decides which gateway keeps the expert maps.
 *
 * Load pattern: gateways restart one after another while popularity shifts. Each change of the keeper costs a survey of
 * the group and the knowledge of its usual pace, so the one that keeps the maps goes on while it lives; only without one
 * does the lowest name decide. Two that keep them, for lack of contact, are kept apart by fencing numbers at the ranks.
 *
 * @property own this process.
 * @property settle time for which a process must be able to serve before it acts; peers meet in less. A process that has
 *   long met the others takes over from a lost keeper at once, as it may have left the group held.
 */
class MapLeadership(
    private val own: ProcessName,
    private val settle: Duration = 700.milliseconds,
) {
    private var readySince: MonotonicTime? = null

    /** Role after the last decision. */
    var role: MapRole = MapRole.FOLLOWS
        private set

    /**
     * Decides anew.
     *
     * @param isReady whether this process can serve requests.
     * @param peers the other gateways that live and can serve requests.
     */
    fun decide(
        isReady: Boolean,
        peers: List<MapKeeperCandidate>,
        now: MonotonicTime,
    ): MapRole {
        val since = (readySince ?: now).takeIf { isReady }
        readySince = since
        role =
            when {
                since == null || peers.any(::precedes) -> MapRole.FOLLOWS
                now - since > settle -> MapRole.KEEPS
                else -> MapRole.SETTLES
            }
        return role
    }

    private fun precedes(peer: MapKeeperCandidate): Boolean {
        val keeps = role == MapRole.KEEPS
        return if (peer.keepsMaps == keeps) peer.process < own else peer.keepsMaps
    }
}
