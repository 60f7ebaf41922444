package io.kumquattrail.forward.process

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.catalogue.CatalogueChange
import io.kumquattrail.decision.catalogue.ServerCatalogue
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.placement.GroupProgress
import io.kumquattrail.decision.placement.LoadTable
import io.kumquattrail.decision.placement.SharedAllowance
import io.kumquattrail.decision.route.ConfirmationClock
import io.kumquattrail.decision.route.RoutingConfiguration
import io.kumquattrail.decision.suspect.FatalRequestLedger
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.log.EventLog
import kotlin.time.Duration

/**
 * Everything that a gateway knows. It is used on the event loop only.
 *
 * @param leastProcesses gateways that the settings name, this one included.
 */
class GatewayState(
    val process: ProcessName,
    val zone: ZoneName,
    val log: EventLog,
    leastProcesses: Int = 1,
) {
    /** Configuration in effect; `null` until one is known. */
    var configuration: RoutingConfiguration? = null
        private set

    /** Registered servers and evacuated zones. */
    val catalogue = ServerCatalogue()

    /** Requests in progress at the servers. */
    val loads = LoadTable()

    /** Groups of servers that work in lockstep, and whether they go on. */
    val groups = GroupProgress()

    /** Requests that were in progress as servers ended. */
    val fatalRequests = FatalRequestLedger()

    /** Split of the allowances of all processes. */
    val allowance = SharedAllowance(leastProcesses = leastProcesses)

    /** Time since configuration and evacuations were confirmed to be the newest. */
    val confirmation = ConfirmationClock()

    /** Whether the registered servers are known. */
    var serversKnown = false
        private set

    /** Whether the peers that the settings name have been asked for what they know. */
    var peersAsked = false

    /** Whether the process keeps the expert maps. */
    var keepsMaps = false

    /** Whether the process has begun to stop. */
    var isStopping = false

    /** Whether the process is so close to its end that new requests are refused. */
    var refusesNewRequests = false

    /** Called when a change of the state may have made room for waiting requests. */
    var onChange: () -> Unit = {}

    /** Time at which the process began to listen for callers. */
    var startedAt: MonotonicTime = ProcessClock.monotonic()

    /** Whether all that requests need is known. */
    val hasStarted: Boolean get() = peersAsked && configuration != null && serversKnown

    /** Whether the process can serve requests. */
    val isReady: Boolean get() = !isStopping && hasStarted

    /** Returns the age of configuration and evacuations. */
    fun confirmedAge(): Duration = confirmation.age(ProcessClock.monotonic(), ProcessClock.wall())

    /** Puts [newer] into effect unless its version is not above the one in effect. */
    fun publish(
        newer: RoutingConfiguration,
        source: String,
    ) {
        val before = configuration
        if (before != null && newer.version <= before.version) return
        configuration = newer
        log.log(
            "configuration_applied",
            "version" to newer.version,
            "before" to before?.version,
            "routes" to newer.routes.size,
            "organisations" to
                newer.organisations.values
                    .distinct()
                    .size,
            "keys" to newer.organisations.size,
            "source" to source,
        )
        onChange()
    }

    /**
     * Takes in the complete list of registered servers.
     *
     * @param rolledBack whether the registry has come back from an older copy since the last list.
     */
    fun serversListed(
        servers: Collection<BackendServer>,
        version: Long,
        rolledBack: Boolean = false,
    ) {
        val now = ProcessClock.monotonic()
        val changes =
            if (rolledBack) {
                catalogue.rolledBack(servers, now, version)
            } else {
                catalogue.replaced(servers, now, version)
            }
        logChanges(changes, version)
        serversKnown = true
    }

    /** Takes in the servers that have left, as [peer] knows them. */
    fun serversLeft(
        departures: Map<ServerName, Long>,
        peer: ProcessName,
    ) {
        val changes = catalogue.leftElsewhere(departures, ProcessClock.monotonic())
        if (changes.isNotEmpty()) log.log("servers_left", "peer" to peer, "servers" to changes.size)
        logChanges(changes, version = null)
    }

    /** Takes in one registration. */
    fun serverRegistered(
        server: BackendServer,
        version: Long,
    ) = logChanges(listOfNotNull(catalogue.registered(server)), version)

    /** Takes in that a registration is gone or unusable. */
    fun serverRemoved(
        name: ServerName,
        version: Long,
    ) = logChanges(listOfNotNull(catalogue.removed(name, ProcessClock.monotonic(), version)), version)

    /** Removes the registrations that did not come back after an outage of the registry. */
    fun expireLapsedServers() = logChanges(catalogue.expireLapsed(ProcessClock.monotonic()), version = null)

    /** Takes in the zones that operators have evacuated. */
    fun zonesEvacuated(
        zones: Set<ZoneName>,
        version: Long?,
    ) {
        if (zones == catalogue.evacuatedZones) return
        log.log("zones_evacuated", "zones" to zones.joinToString(",") { it.value }, "version" to version)
        catalogue.evacuated(zones)
        onChange()
    }

    private fun logChanges(
        changes: List<CatalogueChange>,
        version: Long?,
    ) {
        changes.forEach { change ->
            val event =
                when (change) {
                    is CatalogueChange.Added -> "server_added"
                    is CatalogueChange.Draining -> if (change.server.draining) "server_draining" else "server_returned"
                    is CatalogueChange.Lapsed -> "server_lapsed"
                    is CatalogueChange.Outdated -> "server_entry_outdated"
                    is CatalogueChange.Removed -> "server_removed"
                }
            log.log(
                event,
                "server" to change.server.name,
                "service" to change.server.service,
                "address" to "${change.server.host}:${change.server.port}",
                "zone" to change.server.zone,
                "version" to version,
            )
        }
        if (changes.isNotEmpty()) {
            loads.keepOnly(catalogue.servers.mapTo(HashSet()) { it.name })
            onChange()
        }
    }
}
