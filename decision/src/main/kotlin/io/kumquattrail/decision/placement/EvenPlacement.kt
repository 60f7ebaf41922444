package io.kumquattrail.decision.placement

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration

/**
 * Weighs what placement considers besides the free slots.
 *
 * @property failurePenalty slots' worth of load that a server with only failures counts more.
 * @property otherZonePenalty slots' worth of load that a server in another zone counts more. With a preference, the
 *   processes of a zone fill the same servers, so it is 0 unless bytes between zones matter more than an even load.
 */
data class EvenPlacementSettings(
    val failurePenalty: Double = 8.0,
    val otherZonePenalty: Double = 0.0,
)

/**
 * Has a request run apart from others that were in progress as a server ended, so that the next end shows which of them
 * ends servers.
 *
 * @property key ranks the servers, in the same order in all processes; copies of one request at the same time so cost one
 *   server and not several.
 * @property occupied servers that run another such request.
 */
data class ApartRun(
    val key: String,
    val occupied: Set<ServerName>,
)

/** Says where a request goes. */
sealed interface PlacementDecision {
    /** The request goes to [server], which has [inProgress] requests in progress by what this process knows. */
    data class Place(
        val server: BackendServer,
        val inProgress: Int,
    ) : PlacementDecision

    /** Servers exist, but none has room now. */
    data object AllFull : PlacementDecision

    /** Servers exist, but their groups refuse all requests until they have formed anew, probably in [returnsIn]. */
    data class GroupsRefuse(
        val returnsIn: Duration,
    ) : PlacementDecision

    /** No server of the service may be used. */
    data object NoServer : PlacementDecision
}

/**
 * Places a request on the server with the fewest requests in progress for its size.
 *
 * Load pattern: steady traffic of long streams over servers that work in lockstep, where the fullest server sets the
 * pace of all. Counting the requests in progress of all processes keeps the fullest server close to the mean.
 *
 * @property ownZone zone of this process.
 */
class EvenPlacement(
    private val loads: LoadTable,
    private val ownZone: ZoneName,
    private val groups: GroupProgress = GroupProgress(),
    private val settings: EvenPlacementSettings = EvenPlacementSettings(),
) {
    /**
     * Chooses among [servers], of which those in [excluded] have had the request already.
     *
     * @param tieBreak a number that differs between requests and processes and decides between equal servers.
     * @param hasRate tells whether a server may be sent one more request now, by limits other than its slots.
     * @param apart how a request is kept apart that was in progress as a server ended; `null` for any other.
     */
    fun choose(
        servers: List<BackendServer>,
        excluded: Set<ServerName>,
        now: MonotonicTime,
        tieBreak: Int,
        hasRate: (BackendServer) -> Boolean = { true },
        apart: ApartRun? = null,
    ): PlacementDecision {
        val candidates = servers.filter { it.name !in excluded }.ifEmpty { return PlacementDecision.NoServer }
        val accepting = candidates.filterNot { groups.refuses(it.name, now) }
        if (accepting.isEmpty()) {
            return PlacementDecision.GroupsRefuse(checkNotNull(groups.returnsIn(candidates.map { it.name }, now)))
        }
        // Each count sums over all peers, so it is taken once a server.
        val open =
            accepting
                .map { PlacementDecision.Place(server = it, inProgress = loads.inProgress(it.name, now)) }
                .filter { (server, inProgress) ->
                    inProgress < server.slots && !loads.isReportedFull(server.name, now) && hasRate(server)
                }
        if (open.isEmpty()) return PlacementDecision.AllFull
        val working = open.filterNot { groups.isStalled(it.server.name, now) }.ifEmpty { open }
        val preferred = working.filterNot { loads.health(it.server.name).isAvoided(now) }.ifEmpty { working }
        if (apart != null) return placeApart(preferred, apart)
        val start = Math.floorMod(tieBreak, preferred.size)
        val rotated = preferred.drop(start) + preferred.take(start)
        return rotated.minBy { burden(it, now) }
    }

    private fun placeApart(
        open: List<PlacementDecision.Place>,
        apart: ApartRun,
    ): PlacementDecision {
        val free = open.filterNot { it.server.name in apart.occupied }.ifEmpty { open }
        return checkNotNull(RendezvousHash.owner(apart.key, free) { it.server.name.value })
    }

    private fun burden(
        place: PlacementDecision.Place,
        now: MonotonicTime,
    ): Double {
        val server = place.server
        val failures = settings.failurePenalty * loads.health(server.name).failureRate(now)
        val distance = if (server.zone == ownZone) 0.0 else settings.otherZonePenalty
        return (place.inProgress + failures + distance) / server.slots
    }
}
