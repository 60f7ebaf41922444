package io.kumquattrail.forward.process

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.OrderResponse
import io.kumquattrail.decision.expert.replica.RankOrder
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.route.CallerLimits
import io.kumquattrail.decision.route.EngineFigures
import io.kumquattrail.decision.route.EngineGroupFigures
import io.kumquattrail.decision.route.Organisation
import io.kumquattrail.decision.route.Route
import io.kumquattrail.decision.route.RouteKind
import io.kumquattrail.decision.route.RouteTarget
import io.kumquattrail.decision.route.RoutingConfiguration
import io.kumquattrail.decision.route.ServiceDefinition
import io.kumquattrail.forward.call.ForwardingHeaders
import io.kumquattrail.forward.call.SharedLimits
import io.kumquattrail.forward.expert.RankControl
import io.kumquattrail.forward.http.LoopbackPorts
import io.kumquattrail.forward.http.NetworkAddress
import io.kumquattrail.forward.log.EventLog
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val SERVICE = ServiceName("service")

private val HEADERS =
    ForwardingHeaders(
        requestId = "Request",
        remainingTime = "Remaining",
        organisation = "Organisation",
        expectedServer = "Expected",
        notRun = "Not-Run",
        signature = "Signature",
        lastEvent = "Last-Event",
        urgency = "Urgency",
        authorisation = "Authorization",
        authorisationScheme = "Token",
        faultyServer = "Faulty",
        tokenCount = "Tokens",
        promptParts = "Prompt-Parts",
        rateLimit = "Rate-Limit",
    )

private fun route(
    kind: RouteKind,
    timeout: Duration,
) = Route(
    name = kind.name,
    host = "shop.example",
    pathPrefix = "/${kind.name.lowercase()}/",
    kind = kind,
    timeout = timeout,
    latencyTarget = 200.milliseconds,
    targets = persistentListOf(RouteTarget(SERVICE)),
    maximumAttempts = if (kind == RouteKind.UNSAFE) 1 else 2,
    resumable = kind == RouteKind.STREAMING,
)

private class UnavailableRankControl : RankControl {
    override suspend fun state(server: BackendServer) = null

    override suspend fun choices(
        server: BackendServer,
        figures: EngineGroupFigures,
    ) = null

    override suspend fun holdings(server: BackendServer) = null

    override suspend fun order(
        server: BackendServer,
        order: RankOrder,
        epoch: Long,
        fence: Long,
    ) = OrderResponse.UNKNOWN
}

/**
 * A gateway on loopback that forwards to [servers], with access to its ports, metrics and log.
 *
 * @param confirmed whether the configuration is confirmed to be up to date after it was published.
 * @param stateAvailable completed when the gateway is to receive the configuration and the servers.
 * @param startupTimeout time after the start for which requests wait for them.
 * @param process address at which other gateways reach this one.
 * @param seeds addresses of other gateways.
 * @param callerLimits limits on requests of callers.
 * @param engine figures of the servers' model engine; `null` for a plain service.
 */
internal class GatewayFixture(
    servers: List<ScriptedServer>,
    timeout: Duration = 2.seconds,
    confirmed: Boolean = true,
    slots: Int = 8,
    stateAvailable: Job = Job().apply { complete() },
    startupTimeout: Duration = 250.milliseconds,
    val process: ProcessName = ProcessName("127.0.0.1:${LoopbackPorts.take()}"),
    seeds: List<ProcessName> = emptyList(),
    private val callerLimits: CallerLimits = CallerLimits(),
    private val engine: EngineFigures? = null,
) : AutoCloseable {
    private val callerPort = LoopbackPorts.take()
    private val logOutput = ByteArrayOutputStream()
    private val metricsPort = LoopbackPorts.take()
    private val settings =
        GatewaySettings(
            process = process,
            zone = ZoneName("a"),
            callerAddress = NetworkAddress("127.0.0.1", callerPort),
            readinessAddress = NetworkAddress("127.0.0.1", LoopbackPorts.take()),
            metricsPort = metricsPort,
            seeds = seeds,
            // Longer than any test, because the configuration is confirmed only once.
            keyTrust = 60.seconds,
            shutdownTime = 3.seconds,
            startupTimeout = startupTimeout,
            sharedLimits = SharedLimits(0.2, 92.0, 10.seconds, 1.5, 5.0),
        )
    val gateway =
        Gateway(
            settings = settings,
            log = EventLog(logOutput),
            headers = HEADERS,
            readinessPath = "/ready",
            decodeConfiguration = { null },
        )

    init {
        gateway.start(
            source = { scope ->
                scope.launch {
                    stateAvailable.join()
                    publish(servers, timeout, slots)
                    if (confirmed) {
                        gateway.state.confirmation.recordConfirmation(ProcessClock.monotonic(), ProcessClock.wall())
                    }
                }
            },
            control = UnavailableRankControl(),
        )
    }

    /** Registers servers at [ports] in place of the previous ones. */
    fun registerServers(ports: List<Int>) =
        update { replaceServers(ports.mapIndexed { index, port -> server(index, port) }, version = 2) }

    private fun server(
        index: Int,
        port: Int,
        slots: Int = 8,
    ) = BackendServer(ServerName("s$index"), SERVICE, "127.0.0.1", port, ZoneName("a"), slots)

    private fun publish(
        servers: List<ScriptedServer>,
        timeout: Duration,
        slots: Int,
    ) {
        gateway.state.publish(
            RoutingConfiguration(
                version = 1,
                routes = persistentListOf<Route>().addAll(RouteKind.entries.map { route(it, timeout) }),
                services = persistentMapOf(SERVICE to ServiceDefinition(SERVICE, "/health", 100, engine = engine)),
                organisations = persistentMapOf("key" to Organisation(OrganisationName("hanbit"))),
                callerLimits = callerLimits,
            ),
            source = "test",
        )
        gateway.state.replaceServers(
            servers.mapIndexed { index, server -> server(index, server.port, slots) },
            version = 1,
        )
    }

    /** Applies [change] to the gateway's state on its event loop, and waits for it. */
    fun update(change: GatewayState.() -> Unit) = runBlocking(gateway.dispatcher) { gateway.state.change() }

    /** Reloads the gateway with its initial settings as modified by [change], and waits until they are in effect. */
    fun reload(change: (GatewaySettings) -> GatewaySettings) {
        gateway.reload(change(settings))
        // The event loop runs this task after the reload.
        update {}
    }

    /**
     * Opens a connection of a caller.
     *
     * @param receiveBytes size of the socket's receive buffer; `null` for the default of the operating system.
     */
    fun connect(receiveBytes: Int? = null) =
        Socket().apply {
            receiveBytes?.let { receiveBufferSize = it }
            connect(InetSocketAddress("127.0.0.1", callerPort))
            soTimeout = 5_000
        }

    fun metrics(): String =
        Socket("127.0.0.1", metricsPort).use {
            it.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            it.readUntilClosed()
        }

    fun log(): String {
        Thread.sleep(100)
        return logOutput.toString()
    }

    override fun close() = gateway.close()
}

internal fun Socket.sendRequest(
    path: String,
    method: String = "GET",
    body: String = "",
    headers: String = "",
    remaining: Int = 1_500,
    requestId: String = "r-1",
) = send(
    "$method $path HTTP/1.1\r\nHost: shop.example\r\nRequest: $requestId\r\nRemaining: $remaining\r\n" +
        "Authorization: Token key\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body",
)

/** Reads one response with a Content-Length; returns `null` when the connection is closed. */
internal fun Socket.readResponse(): ReceivedMessage? = readMessage(getInputStream())

/** Reads until the connection is closed; after a reset or a timeout, its message in brackets follows the bytes read. */
internal fun Socket.readUntilClosed(): String {
    val received = ByteArrayOutputStream()
    val failure = runCatching { getInputStream().transferTo(received) }.exceptionOrNull()
    return received.toString() + (failure?.let { "[${it.message}]" } ?: "")
}

internal fun event(id: Int) = "id: $id\ndata: w$id\n\n"

/** Runs [block] with a gateway that forwards to [servers], and closes all of them. */
internal fun withGateway(
    vararg servers: ScriptedServer,
    timeout: Duration = 2.seconds,
    confirmed: Boolean = true,
    slots: Int = 8,
    stateAvailable: Job = Job().apply { complete() },
    startupTimeout: Duration = 250.milliseconds,
    block: (GatewayFixture) -> Unit,
) = try {
    GatewayFixture(servers.toList(), timeout, confirmed, slots, stateAvailable, startupTimeout).use(block)
} finally {
    servers.forEach { it.close() }
}
