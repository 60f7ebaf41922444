package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Another gateway that can become the map leader.
 *
 * @property isMapLeader whether it reports that it is the map leader.
 */
data class MapLeaderCandidate(
    val process: ProcessName,
    val isMapLeader: Boolean,
)

/** Role of a gateway in the management of the expert maps. */
enum class MapRole {
    /** Another gateway is the map leader, or this one cannot serve requests. */
    FOLLOWS,

    /** This gateway has precedence over all others, but still waits in case another one appears. */
    SETTLES,

    /** This gateway is the map leader. */
    KEEPS,
}

/**
 * Decides which gateway is the map leader, which manages the expert maps.
 *
 * Load pattern: gateways restart one after another while popularity shifts. A new map leader has to read the state and
 * the experts of all ranks, and lacks the reference pass time with which [SlowdownDetector] detects that a group has
 * slowed. A map leader therefore keeps the role for as long as it is alive. The lowest name decides only if there is no
 * map leader, or if there are two that meet. While two map leaders have no contact, the fencing numbers at the ranks
 * keep them from interfering with each other.
 *
 * @property self this process.
 * @property settlingTime time for which a process must be able to serve before it becomes map leader; peers discover
 *   each other in less. A process that has been ready for longer takes over from a lost map leader at once, as that one
 *   may have left a group held.
 */
class MapLeadership(
    private val self: ProcessName,
    private val settlingTime: Duration = 700.milliseconds,
) {
    private var readySince: MonotonicTime? = null

    /** Role after the latest decision. */
    var role: MapRole = MapRole.FOLLOWS
        private set

    /**
     * Updates and returns [role].
     *
     * @param isReady whether this process can serve requests.
     * @param peers the other gateways that are alive and can serve requests.
     */
    fun decide(
        isReady: Boolean,
        peers: List<MapLeaderCandidate>,
        now: MonotonicTime,
    ): MapRole {
        val since = (readySince ?: now).takeIf { isReady }
        readySince = since
        role =
            when {
                since == null || peers.any(::hasPrecedence) -> MapRole.FOLLOWS
                now - since > settlingTime -> MapRole.KEEPS
                else -> MapRole.SETTLES
            }
        return role
    }

    private fun hasPrecedence(peer: MapLeaderCandidate): Boolean {
        val keeps = role == MapRole.KEEPS
        return if (peer.isMapLeader == keeps) peer.process < self else peer.isMapLeader
    }
}
