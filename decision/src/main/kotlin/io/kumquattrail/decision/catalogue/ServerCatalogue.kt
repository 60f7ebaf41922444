package io.kumquattrail.decision.catalogue

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the registered backend servers and the zones that operators have evacuated, and selects the servers that may
 * get requests.
 *
 * The registry holds the registrations. One external store can be both the registry and the configuration service,
 * which holds what operators publish.
 *
 * Registrations lapse while the registry is unreachable, although the servers are running. The servers register again
 * shortly after the registry has returned. A registration that is missing right after an outage is therefore kept for
 * [lapseGrace] and removed if it is still missing then, also if another outage has ended meanwhile.
 *
 * The registry may also be restored from a copy that is some seconds old. Its list then shows servers that have left as
 * registered and draining ones as ready, and lacks servers that have registered since. An entry that was received at a
 * higher revision therefore overrides the list, and a server that is missing from the list is kept for [rewriteGrace].
 *
 * @property shortestOutage shortest outage in which registrations lapse; they do after several missed renewals.
 * @property lapseGrace time after an outage within which running servers register again.
 * @property rewriteGrace time after the restoration of an older copy within which running servers register again.
 */
class ServerCatalogue(
    private val shortestOutage: Duration = 1.seconds,
    private val lapseGrace: Duration = 2.seconds,
    private val rewriteGrace: Duration = 3.seconds,
) {
    private val registered = HashMap<ServerName, BackendServer>()
    private val lapsed = HashMap<ServerName, MonotonicTime>()
    private val departed = HashMap<ServerName, RecordedDeparture>()
    private var lapseGraceEnds = MonotonicTime(Long.MIN_VALUE)
    private var evacuated: Set<ZoneName> = emptySet()
    private var byService: Map<ServiceName, List<BackendServer>> = emptyMap()

    /** All registered servers, also those that get no requests. */
    val servers: Collection<BackendServer> get() = registered.values

    /** Zones whose servers get no requests. */
    val evacuatedZones: Set<ZoneName> get() = evacuated

    /** Returns the servers that have left recently. */
    fun departures(now: MonotonicTime): Map<ServerName, Departure> {
        expireDepartures(now)
        return departed.mapValues { (_, departure) -> Departure(departure.revision, age = now - departure.recordedAt) }
    }

    /** Records that the registry responds again after an [outage] of this length. */
    fun onRegistryReturn(
        now: MonotonicTime,
        outage: Duration,
    ) {
        if (outage >= shortestOutage) lapseGraceEnds = now + lapseGrace
    }

    /** Adds or updates one registration. Returns the change, or `null` if there is none. */
    fun recordRegistration(server: BackendServer): CatalogueChange? {
        val previous = registered.put(server.name, server)
        val wasLapsed = lapsed.remove(server.name) != null
        departed.remove(server.name)
        rebuild()
        return when {
            previous == null -> CatalogueChange.Added(server)
            previous.draining != server.draining -> CatalogueChange.Draining(server)
            wasLapsed -> CatalogueChange.Added(server)
            else -> null
        }
    }

    /**
     * Records that the registration of [name] is gone or unusable as of [revision]. Returns the change, or `null` if
     * there is none.
     */
    fun recordRemoval(
        name: ServerName,
        now: MonotonicTime,
        revision: Long = 0,
    ): CatalogueChange? {
        val server = registered[name] ?: return null
        if (now < lapseGraceEnds && !server.draining) {
            val removedFrom = lapsed[name]
            if (removedFrom == null) {
                lapsed[name] = lapseGraceEnds
                return CatalogueChange.Lapsed(server)
            }
            if (now < removedFrom) return null
        }
        registered.remove(name)
        lapsed.remove(name)
        expireDepartures(now)
        departed[name] = RecordedDeparture(maxOf(revision, server.revision + 1), now)
        rebuild()
        return CatalogueChange.Removed(server)
    }

    /**
     * Replaces the registrations by the complete list as of [revision]. Servers that are missing from it are removed.
     * Returns the changes.
     */
    fun replaceList(
        servers: Collection<BackendServer>,
        now: MonotonicTime,
        revision: Long = 0,
    ): List<CatalogueChange> {
        val names = servers.mapTo(HashSet()) { it.name }
        val missing = registered.keys.filter { it !in names }
        return missing.mapNotNull { recordRemoval(it, now, revision) } + servers.mapNotNull { listed(it) }
    }

    /**
     * Merges the complete list of a registry that was restored from an older copy and is now at [revision]. Returns the
     * changes.
     */
    fun mergeRestoredList(
        servers: Collection<BackendServer>,
        now: MonotonicTime,
        revision: Long,
    ): List<CatalogueChange> {
        val names = servers.mapTo(HashSet()) { it.name }
        val missing = registered.values.filter { it.name !in names && !it.draining && it.name !in lapsed }
        missing.forEach { lapsed[it.name] = now + rewriteGrace }
        val changes = missing.map { CatalogueChange.Lapsed(it) } + servers.mapNotNull { listed(it) }
        // The registry will assign revisions above this one again; with the cap, later entries count as newer.
        registered.replaceAll { _, server -> server.copy(revision = minOf(server.revision, revision)) }
        departed.replaceAll { _, departure -> departure.copy(revision = minOf(departure.revision, revision)) }
        rebuild()
        return changes
    }

    /**
     * Merges the departures that another process reports; they expire when they do there. This matters to a process that
     * has just started and has read a list from an older copy, in which those servers are still registered. Returns the
     * changes.
     */
    fun mergeDepartures(
        departures: Map<ServerName, Departure>,
        now: MonotonicTime,
    ): List<CatalogueChange> =
        departures.filterValues { it.age <= DEPARTURE_RETENTION }.mapNotNull { (name, departure) ->
            val current = registered[name]
            when {
                current == null -> {
                    departed.putIfAbsent(name, RecordedDeparture(departure.revision, now - departure.age))
                    null
                }

                current.revision < departure.revision -> {
                    recordRemoval(name, now, departure.revision)
                }

                else -> {
                    null
                }
            }
        }

    private fun expireDepartures(now: MonotonicTime) {
        departed.values.removeAll { now - it.recordedAt > DEPARTURE_RETENTION }
    }

    private fun listed(server: BackendServer): CatalogueChange? {
        val departure = departed[server.name]
        if (departure != null && departure.revision > server.revision) return CatalogueChange.Outdated(server)
        val current = registered[server.name] ?: return recordRegistration(server)
        if (server.revision >= current.revision) return recordRegistration(server)
        // The listed entry is older than the current one, but a server that has announced a drain gets no requests.
        return if (server.draining && !current.draining) recordRegistration(current.copy(draining = true)) else null
    }

    /** Removes lapsed registrations whose grace period has ended. Returns the changes. */
    fun expireLapsed(now: MonotonicTime): List<CatalogueChange> =
        lapsed
            .filterValues { now >= it }
            .keys
            .toList()
            .mapNotNull { recordRemoval(it, now) }

    /** Replaces the zones that operators have evacuated. */
    fun updateEvacuatedZones(zones: Set<ZoneName>) {
        evacuated = zones
        rebuild()
    }

    /** Returns the servers of [service] that may get requests. */
    fun usable(service: ServiceName): List<BackendServer> = byService[service] ?: emptyList()

    private data class RecordedDeparture(
        val revision: Long,
        val recordedAt: MonotonicTime,
    )

    private fun rebuild() {
        byService =
            registered.values
                .filter { !it.draining && it.zone !in evacuated }
                .sortedBy { it.name }
                .groupBy { it.service }
    }

    private companion object {
        /** Time for which departures are kept; longer than the age of a restored copy, which is some seconds. */
        val DEPARTURE_RETENTION = 30.seconds
    }
}

/** Departure of a server from the registry at [revision], which a process has recorded [age] ago. */
data class Departure(
    val revision: Long,
    val age: Duration,
)

/** Change of one server of the catalogue. */
sealed interface CatalogueChange {
    /** The server, as of the change. */
    val server: BackendServer

    /** The server registered. */
    data class Added(
        override val server: BackendServer,
    ) : CatalogueChange

    /** The server has started to drain, or no longer drains. */
    data class Draining(
        override val server: BackendServer,
    ) : CatalogueChange

    /** The registration is missing after an outage or a restoration of the registry; the server is used for a time. */
    data class Lapsed(
        override val server: BackendServer,
    ) : CatalogueChange

    /** A list contains the registration of a server that has left since. It is ignored: the catalogue is unchanged. */
    data class Outdated(
        override val server: BackendServer,
    ) : CatalogueChange

    /** The registration is gone. */
    data class Removed(
        override val server: BackendServer,
    ) : CatalogueChange
}
