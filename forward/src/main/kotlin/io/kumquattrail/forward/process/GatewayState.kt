package io.kumquattrail.forward.process

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.catalogue.CatalogueChange
import io.kumquattrail.decision.catalogue.Departure
import io.kumquattrail.decision.catalogue.ServerCatalogue
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.placement.GroupProgress
import io.kumquattrail.decision.placement.LoadTable
import io.kumquattrail.decision.placement.SharedAllowance
import io.kumquattrail.decision.ratelimit.NamedRateLimits
import io.kumquattrail.decision.ratelimit.RateLimitChange
import io.kumquattrail.decision.ratelimit.RateLimitNotice
import io.kumquattrail.decision.ratelimit.RateLimitReport
import io.kumquattrail.decision.ratelimit.ServerIncarnation
import io.kumquattrail.decision.ratelimit.SharedRateLimiter
import io.kumquattrail.decision.route.ConfirmationClock
import io.kumquattrail.decision.route.RoutingConfiguration
import io.kumquattrail.decision.suspect.CrashLedger
import io.kumquattrail.decision.suspect.PROMPT_PART_LIMITS
import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.suspect.RequestFingerprint
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.log.EventLog
import kotlin.time.Duration

/**
 * State on which a gateway bases its routing decisions. It may be used on the event loop only.
 *
 * @property process address at which peers reach this process.
 * @param minimumProcesses number of gateways named in the settings, including this one; the shared allowances are split
 *   among at least this many processes.
 */
class GatewayState(
    val process: ProcessName,
    val zone: ZoneName,
    val log: EventLog,
    minimumProcesses: Int = 1,
) {
    /** Configuration in effect; `null` until the first one has been received. */
    var configuration: RoutingConfiguration? = null
        private set

    /** Registered servers and evacuated zones. */
    val catalogue = ServerCatalogue()

    /** Requests in progress at the servers. */
    val loads = LoadTable()

    /** Request rate limits that servers have named. */
    val rateLimits = NamedRateLimits()

    /** This process's part of the requests to servers that have named a limit. */
    val rateLimiter = SharedRateLimiter(self = process, minimumProcesses = minimumProcesses)

    /** Groups of servers that work in lockstep, with the progress that each of them makes. */
    val groups = GroupProgress()

    /** Requests that were in progress when servers crashed. */
    val fatalRequests = CrashLedger<RequestFingerprint>()

    /** Parts of prompts on which no answer had begun when servers crashed. */
    val suspectPromptParts = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)

    /** Called after a peer has reported suspected prompt parts. */
    var onPromptPartsReported: () -> Unit = {}

    /** This process's part of the allowances that all gateways share. */
    val allowance = SharedAllowance(minimumProcesses = minimumProcesses)

    /** Records when the configuration and the evacuations were last confirmed to be up to date. */
    val confirmation = ConfirmationClock()

    /** Whether a complete list of registered servers has been received. */
    var hasServerList = false
        private set

    /** Whether the first round of state exchange with peers has finished or timed out. */
    var peersAsked = false

    /** Whether this process is the map leader, that is, manages the expert maps. */
    var isMapLeader = false

    /** Whether a graceful stop is in progress. */
    var isStopping = false

    /** Whether a graceful stop has advanced so far that new requests are refused. */
    var refusesNewRequests = false

    /** Called after a change of the state that may allow queued requests to start. */
    var onChange: () -> Unit = {}

    /** Time at which the process started to listen for callers. */
    var startedAt: MonotonicTime = ProcessClock.monotonic()

    /** Whether the state that requests need has been received: configuration, servers and the peers' first updates. */
    val hasStarted: Boolean get() = peersAsked && configuration != null && hasServerList

    /** Whether the process can serve requests; the result of the readiness probe. */
    val isReady: Boolean get() = !isStopping && hasStarted

    /** Returns the time since the configuration and the evacuations were last confirmed to be up to date. */
    fun confirmedAge(): Duration = confirmation.age(ProcessClock.monotonic(), ProcessClock.wall())

    /** Applies [newConfiguration] if its version is higher than the version in effect; otherwise does nothing. */
    fun publish(
        newConfiguration: RoutingConfiguration,
        source: String,
    ) {
        val previous = configuration
        if (previous != null && newConfiguration.version <= previous.version) return
        configuration = newConfiguration
        log.log(
            "configuration_applied",
            "version" to newConfiguration.version,
            "before" to previous?.version,
            "routes" to newConfiguration.routes.size,
            "organisations" to
                newConfiguration.organisations.values
                    .distinct()
                    .size,
            "keys" to newConfiguration.organisations.size,
            "source" to source,
        )
        onChange()
    }

    /**
     * Replaces the catalogue with [servers], the complete list of registered servers.
     *
     * @param rolledBack whether the registry has been restored from an older copy since the last list.
     */
    fun replaceServers(
        servers: Collection<BackendServer>,
        version: Long,
        rolledBack: Boolean = false,
    ) {
        val now = ProcessClock.monotonic()
        val changes =
            if (rolledBack) {
                catalogue.mergeRestoredList(servers, now, version)
            } else {
                catalogue.replaceList(servers, now, version)
            }
        logChanges(changes, version)
        hasServerList = true
    }

    /** Records what an answer of [server] says about its request rate limit. */
    fun recordRateLimit(
        server: BackendServer,
        notice: RateLimitNotice,
    ) {
        val change = rateLimits.recordAnswer(ServerIncarnation(server), notice, ProcessClock.monotonic())
        if (change != null) logRateLimit(change, peer = null)
    }

    /** Records what answers to [peer] said about the request rate limits of servers. */
    fun mergeRateLimits(
        reports: List<RateLimitReport>,
        peer: ProcessName,
    ) {
        if (reports.isEmpty()) return
        // A peer may still list a server that has left; its limit would be kept for ever.
        val registered = catalogue.servers.mapTo(HashSet()) { it.name }
        val changes = rateLimits.merge(reports.filter { it.server.name in registered }, ProcessClock.monotonic())
        changes.forEach { logRateLimit(it, peer) }
        if (changes.isNotEmpty()) onChange()
    }

    private fun logRateLimit(
        change: RateLimitChange,
        peer: ProcessName?,
    ) = log.log(
        "server_rate_limit",
        "server" to change.server.name,
        "requests_per_second" to change.after,
        "before" to change.before,
        "peer" to peer,
    )

    /** Removes the servers that have left the registry according to [peer]. */
    fun recordDepartures(
        departures: Map<ServerName, Departure>,
        peer: ProcessName,
    ) {
        val changes = catalogue.mergeDepartures(departures, ProcessClock.monotonic())
        if (changes.isNotEmpty()) log.log("servers_left", "peer" to peer, "servers" to changes.size)
        logChanges(changes, version = null)
    }

    /** Adds or updates one registered server. */
    fun registerServer(
        server: BackendServer,
        version: Long,
    ) = logChanges(listOfNotNull(catalogue.recordRegistration(server)), version)

    /** Removes a server whose registration was deleted or is unusable. */
    fun removeServer(
        name: ServerName,
        version: Long,
    ) = logChanges(listOfNotNull(catalogue.recordRemoval(name, ProcessClock.monotonic(), version)), version)

    /** Removes the servers that did not register again in time after an outage of the registry. */
    fun expireLapsedServers() = logChanges(catalogue.expireLapsed(ProcessClock.monotonic()), version = null)

    /** Replaces the set of zones that operators have evacuated. */
    fun setEvacuatedZones(
        zones: Set<ZoneName>,
        version: Long?,
    ) {
        if (zones == catalogue.evacuatedZones) return
        log.log("zones_evacuated", "zones" to zones.joinToString(",") { it.value }, "version" to version)
        catalogue.updateEvacuatedZones(zones)
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
            val registered = catalogue.servers.mapTo(HashSet()) { it.name }
            loads.retainServers(registered)
            rateLimits.retainServers(registered)
            rateLimiter.retainServers(registered)
            onChange()
        }
    }
}
