package io.kumquattrail.decision.catalogue

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Knows the registered backend servers and the zones that operators have evacuated, and says which servers may be
 * given work.
 *
 * Registrations lapse while the registry is out of reach, although the servers live; they are back shortly after its
 * return. A registration that is found missing right after an outage is therefore kept for [lapseGrace]. One that is
 * still missing then is gone.
 *
 * The registry may also come back from a copy that is some seconds old. Its list then shows servers that have left as
 * registered, and draining ones as ready, and lacks those that registered since. What is known at a higher revision
 * therefore stands against a list, and a server that such a list lacks is kept for [rewriteGrace].
 *
 * @property lapseGrace time after an outage within which living servers have registered again.
 * @property rewriteGrace time after the return of an older copy within which living servers have registered again.
 */
class ServerCatalogue(
    private val lapseGrace: Duration = 2.seconds,
    private val rewriteGrace: Duration = 3.seconds,
) {
    private val registered = HashMap<ServerName, BackendServer>()
    private val lapsed = HashMap<ServerName, MonotonicTime>()
    private val left = HashMap<ServerName, Departure>()
    private var lapseGraceEnds = MonotonicTime(Long.MIN_VALUE)
    private var evacuated: Set<ZoneName> = emptySet()
    private var byService: Map<ServiceName, List<BackendServer>> = emptyMap()

    /** All registered servers, also those that get no work. */
    val servers: Collection<BackendServer> get() = registered.values

    /** Revisions at which servers have left, of the last seconds. */
    val departures: Map<ServerName, Long> get() = left.mapValues { it.value.revision }

    /** Zones whose servers get no work. */
    val evacuatedZones: Set<ZoneName> get() = evacuated

    /** Records that the registry answers again after an outage. */
    fun registryReturned(now: MonotonicTime) {
        lapseGraceEnds = now + lapseGrace
    }

    /** Takes in one registration. Returns what changed for the server, or `null` when nothing did. */
    fun registered(server: BackendServer): CatalogueChange? {
        val before = registered.put(server.name, server)
        val wasLapsed = lapsed.remove(server.name) != null
        left.remove(server.name)
        rebuild()
        return when {
            before == null -> CatalogueChange.Added(server)
            before.draining != server.draining -> CatalogueChange.Draining(server)
            wasLapsed -> CatalogueChange.Added(server)
            else -> null
        }
    }

    /**
     * Takes in that the registration of [name] is gone or unusable, as of [revision]. Returns what changed, or `null`.
     */
    fun removed(
        name: ServerName,
        now: MonotonicTime,
        revision: Long = 0,
    ): CatalogueChange? {
        val server = registered[name] ?: return null
        if (now < lapseGraceEnds && !server.draining) {
            if (name in lapsed) return null
            lapsed[name] = lapseGraceEnds
            return CatalogueChange.Lapsed(server)
        }
        registered.remove(name)
        lapsed.remove(name)
        left.values.removeAll { now - it.at > DEPARTURE_MEMORY }
        left[name] = Departure(maxOf(revision, server.revision + 1), now)
        rebuild()
        return CatalogueChange.Removed(server)
    }

    /**
     * Takes in the complete list of registrations as of [revision]; servers that it lacks are removed. Returns what
     * changed.
     */
    fun replaced(
        servers: Collection<BackendServer>,
        now: MonotonicTime,
        revision: Long = 0,
    ): List<CatalogueChange> {
        val names = servers.mapTo(HashSet()) { it.name }
        val missing = registered.keys.filter { it !in names }
        return missing.mapNotNull { removed(it, now, revision) } + servers.mapNotNull { listed(it) }
    }

    /**
     * Takes in the complete list of a registry that has come back from an older copy and stands at [revision]. Returns
     * what changed.
     */
    fun rolledBack(
        servers: Collection<BackendServer>,
        now: MonotonicTime,
        revision: Long,
    ): List<CatalogueChange> {
        val names = servers.mapTo(HashSet()) { it.name }
        val missing = registered.values.filter { it.name !in names && !it.draining && it.name !in lapsed }
        missing.forEach { lapsed[it.name] = now + rewriteGrace }
        val changes = missing.map { CatalogueChange.Lapsed(it) } + servers.mapNotNull { listed(it) }
        // Revisions above this one are given out again; what is written from now on is newer than what is known.
        registered.replaceAll { _, server -> server.copy(revision = minOf(server.revision, revision)) }
        left.replaceAll { _, departure -> departure.copy(revision = minOf(departure.revision, revision)) }
        rebuild()
        return changes
    }

    /**
     * Takes in the revisions at which servers have left, as another process knows them. They matter to a process that
     * has just started and has listed a copy in which those servers are still registered.
     */
    fun leftElsewhere(
        departures: Map<ServerName, Long>,
        now: MonotonicTime,
    ): List<CatalogueChange> =
        departures.mapNotNull { (name, revision) ->
            val known = registered[name]
            when {
                known == null -> null.also { left.putIfAbsent(name, Departure(revision, now)) }
                known.revision < revision -> removed(name, now, revision)
                else -> null
            }
        }

    private fun listed(server: BackendServer): CatalogueChange? {
        val departure = left[server.name]
        if (departure != null && departure.revision > server.revision) return CatalogueChange.Outdated(server)
        val known = registered[server.name] ?: return registered(server)
        if (server.revision >= known.revision) return registered(server)
        // The list is older than what is known, but a server that has said that it leaves gets no more work.
        return if (server.draining && !known.draining) registered(known.copy(draining = true)) else null
    }

    /** Removes the registrations that did not come back in time after an outage. Returns what changed. */
    fun expireLapsed(now: MonotonicTime): List<CatalogueChange> =
        lapsed
            .filterValues { now >= it }
            .keys
            .toList()
            .mapNotNull { removed(it, now) }

    /** Takes in the zones that operators have evacuated. */
    fun evacuated(zones: Set<ZoneName>) {
        evacuated = zones
        rebuild()
    }

    /** Returns the servers of [service] that may be given work. */
    fun usable(service: ServiceName): List<BackendServer> = byService[service] ?: emptyList()

    private data class Departure(
        val revision: Long,
        val at: MonotonicTime,
    )

    private fun rebuild() {
        byService =
            registered.values
                .filter { !it.draining && it.zone !in evacuated }
                .sortedBy { it.name }
                .groupBy { it.service }
    }

    private companion object {
        /** Time for which departures are remembered; copies of a registry are some seconds old. */
        val DEPARTURE_MEMORY = 30.seconds
    }
}

/** Says what changed for one server of the catalogue. */
sealed interface CatalogueChange {
    /** The server that changed. */
    val server: BackendServer

    /** The server registered. */
    data class Added(
        override val server: BackendServer,
    ) : CatalogueChange

    /** The server started or stopped leaving. */
    data class Draining(
        override val server: BackendServer,
    ) : CatalogueChange

    /** The registration is missing after an outage of the registry; the server is used on for a short time. */
    data class Lapsed(
        override val server: BackendServer,
    ) : CatalogueChange

    /** A list shows the registration of a server that has left since. */
    data class Outdated(
        override val server: BackendServer,
    ) : CatalogueChange

    /** The registration is gone. */
    data class Removed(
        override val server: BackendServer,
    ) : CatalogueChange
}
