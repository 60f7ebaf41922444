package io.kumquattrail.decision.placement

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration

/**
 * Penalties that placement adds to the requests in progress at a server, in requests.
 *
 * @property failurePenalty penalty of a server whose recent requests all failed; scaled by its failure rate.
 * @property otherZonePenalty penalty of a server in another zone. With a penalty, the processes of a zone fill the
 *   same servers, so it is 0 unless traffic between zones matters more than an even load.
 */
data class EvenPlacementSettings(
    val failurePenalty: Double = 8.0,
    val otherZonePenalty: Double = 0.0,
)

/**
 * Places a suspect, that is, a request that was in progress when a server crashed, on a server without other suspects,
 * so that the next crash shows which request causes it.
 *
 * @property key ranks the servers in the same order in all processes, so that simultaneous copies of one request crash
 *   one server and not several.
 * @property occupied servers that run another suspect.
 */
data class SuspectIsolation(
    val key: String,
    val occupied: Set<ServerName>,
)

/** Result of placing a request. */
sealed interface PlacementDecision {
    /** The request goes to [server], where this process and its peers have [inProgress] requests in progress. */
    data class Place(
        val server: BackendServer,
        val inProgress: Int,
    ) : PlacementDecision

    /** Servers exist, but none has capacity now. */
    data object AllFull : PlacementDecision

    /**
     * Servers exist, but their groups refuse all requests until one has formed again, expected in [estimatedRecovery].
     */
    data class GroupsRefuse(
        val estimatedRecovery: Duration,
    ) : PlacementDecision

    /** The service has no usable server that has not had the request already. */
    data object NoServer : PlacementDecision
}

/**
 * Places a request on the server with the fewest requests in progress per slot.
 *
 * Load pattern: steady traffic of long streams over servers that work in lockstep, where the fullest server sets the
 * pace of all. Counting the requests in progress of all processes keeps the load of the fullest server close to the
 * mean.
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
     * Chooses among [servers], except those in [excluded], which have had the request already.
     *
     * @param tieBreak a number that differs between requests and processes and decides between equally loaded servers.
     * @param isWithinRateLimit returns whether limits other than the slots allow one more request to a server now.
     * @param isolation how a suspect is isolated from other suspects; `null` for any other request.
     */
    fun choose(
        servers: List<BackendServer>,
        excluded: Set<ServerName>,
        now: MonotonicTime,
        tieBreak: Int,
        isWithinRateLimit: (BackendServer) -> Boolean = { true },
        isolation: SuspectIsolation? = null,
    ): PlacementDecision {
        val candidates = servers.filter { it.name !in excluded }.ifEmpty { return PlacementDecision.NoServer }
        val accepting = candidates.filterNot { groups.refuses(it.name, now) }
        if (accepting.isEmpty()) {
            return PlacementDecision.GroupsRefuse(
                checkNotNull(groups.estimatedRecovery(candidates.map { it.name }, now)),
            )
        }
        // Each count sums over all peers, so it is computed once per server.
        val available =
            accepting
                .map { PlacementDecision.Place(server = it, inProgress = loads.inProgress(it.name, now)) }
                .filter { (server, inProgress) ->
                    inProgress < server.slots && !loads.isReportedFull(server.name, now) && isWithinRateLimit(server)
                }
        if (available.isEmpty()) return PlacementDecision.AllFull
        val progressing = available.filterNot { groups.isStalled(it.server.name, now) }.ifEmpty { available }
        val preferred = progressing.filterNot { loads.health(it.server.name).isAvoided(now) }.ifEmpty { progressing }
        if (isolation != null) return placeSuspect(preferred, isolation)
        val start = Math.floorMod(tieBreak, preferred.size)
        val rotated = preferred.drop(start) + preferred.take(start)
        return rotated.minBy { relativeLoad(it, now) }
    }

    private fun placeSuspect(
        available: List<PlacementDecision.Place>,
        isolation: SuspectIsolation,
    ): PlacementDecision {
        val unoccupied = available.filterNot { it.server.name in isolation.occupied }.ifEmpty { available }
        return checkNotNull(RendezvousHash.owner(isolation.key, unoccupied) { it.server.name.value })
    }

    private fun relativeLoad(
        place: PlacementDecision.Place,
        now: MonotonicTime,
    ): Double {
        val server = place.server
        val failures = settings.failurePenalty * loads.health(server.name).failureRate(now)
        val zonePenalty = if (server.zone == ownZone) 0.0 else settings.otherZonePenalty
        return (place.inProgress + failures + zonePenalty) / server.slots
    }
}
