package io.kumquattrail.forward.process

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.route.AccessPolicy
import io.kumquattrail.decision.route.CallerLimits
import io.kumquattrail.decision.route.RoutingConfiguration
import io.kumquattrail.forward.call.CallForwarder
import io.kumquattrail.forward.call.ForwardingHeaders
import io.kumquattrail.forward.call.ForwardingMetrics
import io.kumquattrail.forward.call.RoomFinder
import io.kumquattrail.forward.call.SharedLimits
import io.kumquattrail.forward.expert.GroupKeeper
import io.kumquattrail.forward.expert.RankControl
import io.kumquattrail.forward.http.CallerListenerState
import io.kumquattrail.forward.http.CallerRequestHandler
import io.kumquattrail.forward.http.HttpCaller
import io.kumquattrail.forward.http.HttpListener
import io.kumquattrail.forward.http.HttpReply
import io.kumquattrail.forward.http.NetworkAddress
import io.kumquattrail.forward.http.ResponseLimits
import io.kumquattrail.forward.http.ServerConnectionPool
import io.kumquattrail.forward.log.EventLog
import io.kumquattrail.forward.peer.PeerExchange
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a gateway that forwards to backend servers directly.
 *
 * @property process address at which other gateways reach this one.
 * @property callerAddress address for callers.
 * @property readinessAddress address for the readiness probe.
 * @property metricsPort port of the metrics on [process]'s IP address; `null` for none.
 * @property seeds addresses of other gateways, some of which may be gone.
 * @property keyTrust time for which a confirmed configuration is good for checking keys.
 * @property shutdownTime time from a stop signal to the end of the process.
 * @property startTime time after the start within which the store and the peers have answered, if they can be reached;
 *   callers of that time wait for them.
 * @property responseLimits bounds on what servers may send.
 */
data class GatewaySettings(
    val process: ProcessName,
    val zone: ZoneName,
    val callerAddress: NetworkAddress,
    val readinessAddress: NetworkAddress,
    val metricsPort: Int? = null,
    val seeds: List<ProcessName>,
    val keyTrust: Duration,
    val shutdownTime: Duration,
    val sharedLimits: SharedLimits,
    val startTime: Duration = 250.milliseconds,
    val responseLimits: ResponseLimits = ResponseLimits(),
)

/**
 * A gateway that forwards callers' requests to backend servers without an agent beside them.
 *
 * One event loop does all the work, so no state is shared between threads.
 */
class Gateway(
    private var settings: GatewaySettings,
    private val log: EventLog,
    private val headers: ForwardingHeaders,
    private val readinessPath: String,
    decodeConfiguration: (ByteArray) -> RoutingConfiguration?,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = group.next()

    /** Runs coroutines on the gateway's event loop. */
    val dispatcher = eventLoop.asCoroutineDispatcher()
    private val failures =
        CoroutineExceptionHandler { _, cause ->
            log.failure(
                "internal_error",
                cause,
                "at" to cause.stackTrace.firstOrNull(),
            )
        }
    private val scope = CoroutineScope(SupervisorJob() + dispatcher + failures)
    private val metrics = ForwardingMetrics()
    private val serverPool =
        ServerConnectionPool(eventLoop, requestIdHeader = headers.requestId, limits = settings.responseLimits)

    /** Everything that the gateway knows. */
    val state =
        GatewayState(
            process = settings.process,
            zone = settings.zone,
            log = log,
            leastProcesses = (settings.seeds.toSet() + settings.process).size,
        )

    /** Makes short calls over connections of its own. */
    val caller = HttpCaller(ServerConnectionPool(eventLoop))

    /** The exchange with other gateways. */
    val peers =
        PeerExchange(state = state, caller = caller, seeds = settings.seeds, decodeConfiguration = decodeConfiguration)

    private val forwarder =
        CallForwarder(
            scope = scope,
            state = state,
            pool = serverPool,
            access = { AccessPolicy(settings.keyTrust) },
            rooms = RoomFinder(state, limits = { settings.sharedLimits }),
            headers = headers,
            metrics = metrics,
            startTime = settings.startTime,
            onRepeatedEnd = { peers.exchangeRound(scope) },
            onPause = { server, pause, now -> groupKeeper?.paused(server, pause, now) },
        )
    private var groupKeeper: GroupKeeper? = null
    private val callers = listenerState(forwarder)
    private val callerListener = HttpListener(group, callers)

    /**
     * Starts listening, brings the state up to date from [source] and keeps expert maps through [control]. Throws when
     * an address cannot be bound.
     */
    fun start(
        source: StateSource,
        control: RankControl,
    ) {
        listen(settings.readinessAddress) { exchange ->
            val ready = exchange.request.target.startsWith(readinessPath) && state.isReady
            exchange.respond(HttpReply(if (ready) OK else UNAVAILABLE))
        }
        NetworkAddress.parse(settings.process.value)?.let { address ->
            listen(address) { peers.handle(it) }
            settings.metricsPort?.let { port ->
                listen(address.copy(port = port)) { exchange ->
                    metrics.configurationAge.set(state.confirmedAge().inWholeMilliseconds / MILLISECONDS_PER_SECOND)
                    exchange.respond(HttpReply(OK, body = metrics.text()))
                }
            }
        }
        state.startedAt = ProcessClock.monotonic()
        callerListener.bind(settings.callerAddress)
        peers.start(scope)
        source.start(scope)
        val keeper = GroupKeeper(state, control, peers = { peers.mapKeeperCandidates(ProcessClock.monotonic()) })
        keeper.start(scope)
        groupKeeper = keeper
        scope.launch { housekeeping() }
        log.log("started", "process" to settings.process, "zone" to settings.zone, "callers" to settings.callerAddress)
    }

    /**
     * Puts [newer] into effect as far as a running process can: seeds, bounds and times. Addresses and the zone belong to
     * the process, and the window of retries to what it has counted.
     */
    fun reload(newer: GatewaySettings) {
        scope.launch {
            val before = settings
            settings =
                before.copy(
                    seeds = newer.seeds,
                    keyTrust = newer.keyTrust,
                    shutdownTime = newer.shutdownTime,
                    sharedLimits = newer.sharedLimits.copy(retryWindow = before.sharedLimits.retryWindow),
                )
            peers.reseed(newer.seeds)
            log.log(
                "settings_reloaded",
                "changed" to (settings != before),
                "needs_restart" to (settings != newer),
                "seeds" to newer.seeds.joinToString(","),
                "key_trust_ms" to newer.keyTrust.inWholeMilliseconds,
            )
        }
    }

    /** Stops gracefully: the process leaves the rotation, answers what it has, and [onEnd] is called. */
    fun stop(
        signal: String,
        onEnd: () -> Unit,
    ) {
        scope.launch {
            if (state.isStopping) return@launch
            state.isStopping = true
            callers.closeAfterResponse = true
            log.log("stopping", "signal" to signal, "requests" to callers.requestsInProgress)
            val began = ProcessClock.monotonic()
            // A request may be on its way on a kept connection, so these stay open while requests can still be finished.
            while (ProcessClock.monotonic() - began <= LEAVE_ROTATION) delay(STOP_POLL)
            state.refusesNewRequests = true
            callers.closeIdle()
            while (callers.requestsInProgress > 0 && ProcessClock.monotonic() - began <= settings.shutdownTime) {
                delay(STOP_POLL)
            }
            log.log("stopped", "requests" to callers.requestsInProgress)
            onEnd()
        }
    }

    /** Ends the gateway at once. */
    override fun close() {
        scope.cancel()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun listen(
        address: NetworkAddress,
        handler: CallerRequestHandler,
    ) = HttpListener(group, listenerState(handler)).bind(address)

    private fun listenerState(handler: CallerRequestHandler): CallerListenerState =
        CallerListenerState(
            scope = scope,
            handler = handler,
            limits = { state.configuration?.callerLimits ?: CallerLimits() },
        )

    private suspend fun housekeeping() {
        while (true) {
            delay(HOUSEKEEPING_INTERVAL)
            state.expireLapsedServers()
            serverPool.closeExpired(state.catalogue.servers.mapTo(HashSet()) { NetworkAddress(it.host, it.port) })
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Interval of clean-up; short against the 2 s in which lapsed servers may return. */
        val HOUSEKEEPING_INTERVAL = 500.milliseconds

        /** Interval at which a stopping process looks whether it is done. */
        val STOP_POLL = 50.milliseconds

        /** The balancer asks each second and takes a process out after two misses; then no new callers arrive. */
        val LEAVE_ROTATION = 2.5.seconds
    }
}
