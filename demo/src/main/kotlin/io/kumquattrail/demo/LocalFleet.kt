package io.kumquattrail.demo

import io.kumquattrail.agent.AgentProcess
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.gateway.GatewayProcess
import io.kumquattrail.node.settings.AgentSettings
import io.kumquattrail.node.settings.GatewaySettings
import io.kumquattrail.node.settings.NodeSettings
import io.kumquattrail.node.settings.SocketAddress
import io.kumquattrail.standin.HttpStandIn
import io.kumquattrail.standin.engine.EngineProfile
import io.kumquattrail.standin.engine.ModelEngine
import io.kumquattrail.standin.ledger.LedgerService
import io.kumquattrail.standin.ledger.PostingLog
import io.kumquattrail.standin.records.PublishedRecordsService
import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes the size of a [LocalFleet].
 *
 * @property runners model runners, spread over the zones in turn.
 * @property ledgers servers of the ledger service, spread over the zones in turn.
 * @property callerPort port of the first gateway for callers; later gateways take the ports after it; 0 selects free ports.
 */
data class FleetSize(
    val zones: List<String> = listOf("zone-a", "zone-b", "zone-c"),
    val runners: Int = 6,
    val ledgers: Int = 3,
    val gateways: Int = 2,
    val callerPort: Int = 0,
)

/** Runs gateways, agents and stand-ins of one small fleet in this process, on loopback. */
class LocalFleet(
    private val vertx: Vertx,
    private val size: FleetSize = FleetSize(),
    private val profile: EngineProfile = EngineProfile(),
    seed: Long = 1,
) {
    private val random = Random(seed)
    private val addresses = mutableMapOf<String, String>()

    val records = PublishedRecordsService(vertx)
    val postings = PostingLog()
    val engines = mutableMapOf<String, ModelEngine>()
    val agents = mutableMapOf<String, AgentProcess>()
    val gateways = mutableListOf<GatewayProcess>()

    /** Ports of the gateways for callers. */
    val callerPorts = mutableListOf<Int>()

    /** Server names by zone. */
    val serversByZone = mutableMapOf<String, List<String>>()

    /** Starts everything and waits until all gateways have all records. */
    suspend fun start() {
        records.start()
        publishBase()
        repeat(size.runners) { startRunner(it) }
        repeat(size.ledgers) { startLedger(it) }
        publishKeyOwners()
        repeat(size.gateways) { startGateway(it) }
    }

    /** Publishes whether [zone] is in service and returns the revision. */
    fun publishZone(
        zone: String,
        inService: Boolean,
    ): Long = records.publish(record("zone", zone).put("in_service", inService))

    /** Shows the VM of [server] as leaving in the platform's list. */
    fun leave(server: String) = records.listVirtualMachine(addresses.getValue(server), zoneOf(server), "leaving")

    private fun zoneOf(server: String): String = serversByZone.entries.first { server in it.value }.key

    suspend fun stop() {
        gateways.forEach { it.shutdown() }
        agents.values.forEach { it.shutdown() }
        records.stop()
    }

    private fun publishBase() {
        size.zones.forEach { publishZone(it, inService = true) }
        records.publish(record("service", DRAFTING).put("service_kind", "model"))
        ORGANISATIONS.forEach { (name, weight) ->
            records.publish(record("organisation", name).put("weight", weight))
        }
    }

    private suspend fun startRunner(index: Int) {
        val name = "$DRAFTING-$index"
        val engine = ModelEngine(vertx, profile)
        engines[name] = engine
        startServer(name, DRAFTING, index, engine)
    }

    private suspend fun startLedger(index: Int) =
        startServer("$LEDGER-$index", LEDGER, index, LedgerService(vertx, postings))

    private suspend fun startServer(
        name: String,
        service: String,
        index: Int,
        standIn: HttpStandIn,
    ) {
        standIn.start()
        val zone = size.zones[index % size.zones.size]
        val node = nodeSettings(zone)
        val backend = SocketAddress(LOOPBACK, standIn.port)
        val settings = AgentSettings(node, name, backend, keyClockError = SAME_MACHINE_CLOCK_ERROR)
        val agent = AgentProcess(settings, vertx, random = Random(random.nextLong()))
        agents[name] = agent
        addresses[name] = node.rpc.toString()
        serversByZone.merge(zone, listOf(name), List<String>::plus)
        records.publish(serverRecord(name, service, zone, node.rpc.toString()))
        records.listVirtualMachine(node.rpc.toString(), zone, "live")
        agent.start()
    }

    private fun serverRecord(
        name: String,
        service: String,
        zone: String,
        address: String,
    ): JsonObject =
        record("server", name)
            .put("service", service)
            .put("zone", zone)
            .put("address", address)
            .put("warm_concurrency", WARM_CONCURRENCY)
            .put("cold_concurrency", profile.coldBound.coerceAtMost(WARM_CONCURRENCY))

    private fun publishKeyOwners() {
        val servers = JsonArray((0 until size.ledgers).map { "$LEDGER-$it" })
        val generation = JsonObject().put("from_ms", 0).put("until_ms", FAR_FUTURE_MILLISECONDS).put("servers", servers)
        val postings = JsonObject().put("method", "POST").put("path_prefix", "/postings").put("repeatable", false)
        records.publish(
            record("service", LEDGER)
                .put("service_kind", "plain")
                .put("operations", JsonArray().add(postings))
                .put("key_owners", JsonArray().add(generation)),
        )
    }

    private suspend fun startGateway(index: Int) {
        val zone = size.zones[index % size.zones.size]
        val callers = if (size.callerPort == 0) freePort() else size.callerPort + index
        val settings = GatewaySettings(nodeSettings(zone), SocketAddress(LOOPBACK, callers))
        val gateway = GatewayProcess(settings, vertx, random = Random(random.nextLong()))
        gateways += gateway
        callerPorts += gateway.start()
        records.listVirtualMachine(settings.node.rpc.toString(), zone, "live")
    }

    private fun nodeSettings(zone: String): NodeSettings =
        NodeSettings(
            zone = ZoneName(zone),
            rpc = SocketAddress(LOOPBACK, freePort()),
            operations = SocketAddress(LOOPBACK, freePort()),
            configurationServices = listOf(SocketAddress(LOOPBACK, records.port)),
            drainTimeout = 10.seconds,
        )

    private fun record(
        kind: String,
        name: String,
    ): JsonObject = JsonObject().put("schema_version", 1).put("kind", kind).put("name", name)

    companion object {
        /** Name of the model service. */
        const val DRAFTING: String = "drafting"

        /** Name of the plain service whose postings may not be repeated. */
        const val LEDGER: String = "ledger"

        /** Organisations and their weights. */
        val ORGANISATIONS: Map<String, Int> = mapOf("hanbit" to 3, "agency" to 2, "counter" to 1)

        private const val LOOPBACK = "127.0.0.1"

        // All processes read the same wall clock.
        private val SAME_MACHINE_CLOCK_ERROR = 20.milliseconds
        private const val WARM_CONCURRENCY = 32
        private const val FAR_FUTURE_MILLISECONDS = 4_102_444_800_000L

        private val givenPorts = ConcurrentHashMap.newKeySet<Int>()

        // The operating system hands out a port again once it is closed; two listeners must not get the same one.
        private fun freePort(): Int = generateSequence { ServerSocket(0).use { it.localPort } }.first(givenPorts::add)
    }
}
