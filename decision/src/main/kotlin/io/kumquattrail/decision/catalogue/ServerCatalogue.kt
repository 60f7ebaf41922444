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
 * @property lapseGrace time after an outage within which living servers have registered again.
 */
class ServerCatalogue(
    private val lapseGrace: Duration = 2.seconds,
) {
    private val registered = HashMap<ServerName, BackendServer>()
    private val lapsed = HashMap<ServerName, MonotonicTime>()
    private var lapseGraceEnds = MonotonicTime(Long.MIN_VALUE)
    private var evacuated: Set<ZoneName> = emptySet()
    private var byService: Map<ServiceName, List<BackendServer>> = emptyMap()

    /** All registered servers, also those that get no work. */
    val servers: Collection<BackendServer> get() = registered.values

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
        rebuild()
        return when {
            before == null -> CatalogueChange.Added(server)
            before.draining != server.draining -> CatalogueChange.Draining(server)
            wasLapsed -> CatalogueChange.Added(server)
            else -> null
        }
    }

    /** Takes in that the registration of [name] is gone or unusable. Returns what changed, or `null`. */
    fun removed(
        name: ServerName,
        now: MonotonicTime,
    ): CatalogueChange? {
        val server = registered[name] ?: return null
        if (now < lapseGraceEnds && !server.draining) {
            if (name in lapsed) return null
            lapsed[name] = lapseGraceEnds
            return CatalogueChange.Lapsed(server)
        }
        registered.remove(name)
        lapsed.remove(name)
        rebuild()
        return CatalogueChange.Removed(server)
    }

    /** Takes in the complete list of registrations; servers that it lacks are removed. Returns what changed. */
    fun replaced(
        servers: Collection<BackendServer>,
        now: MonotonicTime,
    ): List<CatalogueChange> {
        val names = servers.mapTo(HashSet()) { it.name }
        val missing = registered.keys.filter { it !in names }
        return missing.mapNotNull { removed(it, now) } + servers.mapNotNull { registered(it) }
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

    private fun rebuild() {
        byService =
            registered.values
                .filter { !it.draining && it.zone !in evacuated }
                .sortedBy { it.name }
                .groupBy { it.service }
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

    /** The registration is gone. */
    data class Removed(
        override val server: BackendServer,
    ) : CatalogueChange
}
