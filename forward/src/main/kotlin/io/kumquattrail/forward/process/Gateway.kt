package io.kumquattrail.forward.process

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.route.AccessPolicy
import io.kumquattrail.decision.route.CallerLimits
import io.kumquattrail.decision.route.RoutingConfiguration
import io.kumquattrail.forward.call.CallForwarder
import io.kumquattrail.forward.call.ForwardingHeaders
import io.kumquattrail.forward.call.ForwardingMetrics
import io.kumquattrail.forward.call.SharedLimits
import io.kumquattrail.forward.call.SlotFinder
import io.kumquattrail.forward.expert.ExpertMapManager
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
 * Settings of a gateway that forwards directly to backend servers.
 *
 * @property process address at which other gateways reach this one.
 * @property callerAddress address on which the gateway listens for callers.
 * @property readinessAddress address on which the gateway answers the readiness probe.
 * @property metricsPort port of the metrics endpoint on [process]'s IP address; `null` disables it.
 * @property seeds addresses of other gateways; some of them may no longer exist.
 * @property keyTrust time for which caller keys may be checked against a configuration after it was confirmed.
 * @property shutdownTime time after the stop signal at which a graceful stop no longer waits for requests in progress.
 * @property startupTimeout time after the start within which the configuration service and the peers respond if they
 *   are reachable; requests that arrive in this time wait until the gateway has its state.
 * @property responseLimits limits on the responses of servers.
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
    val startupTimeout: Duration = 250.milliseconds,
    val responseLimits: ResponseLimits = ResponseLimits(),
)

/**
 * A gateway that forwards callers' requests directly to backend servers, without agents.
 *
 * All work runs on a single event loop, so no state is shared between threads.
 */
class Gateway(
    private var settings: GatewaySettings,
    private val log: EventLog,
    private val headers: ForwardingHeaders,
    private val readinessPath: String,
    decodeConfiguration: (ByteArray) -> RoutingConfiguration?,
) : AutoCloseable {
    private val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = eventLoopGroup.next()

    /** Dispatcher that runs coroutines on the gateway's event loop. */
    val dispatcher = eventLoop.asCoroutineDispatcher()
    private val exceptionHandler =
        CoroutineExceptionHandler { _, cause ->
            log.failure(
                "internal_error",
                cause,
                "at" to cause.stackTrace.firstOrNull(),
            )
        }
    private val scope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)
    private val metrics = ForwardingMetrics()
    private val serverPool =
        ServerConnectionPool(eventLoop, requestIdHeader = headers.requestId, limits = settings.responseLimits)

    /** Routing state of the gateway: configuration, servers, loads and groups. */
    val state =
        GatewayState(
            process = settings.process,
            zone = settings.zone,
            log = log,
            minimumProcesses = (settings.seeds.toSet() + settings.process).size,
        )

    /** HTTP client for short internal calls; its connection pool is not that of forwarded requests. */
    val caller = HttpCaller(ServerConnectionPool(eventLoop))

    /** State exchange with other gateways. */
    val peers =
        PeerExchange(state = state, caller = caller, seeds = settings.seeds, decodeConfiguration = decodeConfiguration)

    private val forwarder =
        CallForwarder(
            scope = scope,
            state = state,
            pool = serverPool,
            access = { AccessPolicy(settings.keyTrust) },
            slotFinder = SlotFinder(state, limits = { settings.sharedLimits }),
            headers = headers,
            metrics = metrics,
            startTime = settings.startupTimeout,
            onNewEvidence = { peers.exchangeRound(scope) },
            onPause = { server, pause, now -> expertMapManager?.recordPause(server, pause, now) },
        )
    private var expertMapManager: ExpertMapManager? = null
    private val callerListenerState = listenerState(forwarder)
    private val callerListener = HttpListener(eventLoopGroup, callerListenerState)

    /**
     * Starts the listeners, the state updates from [source] and the management of expert maps through [control].
     * Throws when an address cannot be bound.
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
        val manager = ExpertMapManager(state, control, peers = { peers.mapLeaderCandidates(ProcessClock.monotonic()) })
        manager.start(scope)
        expertMapManager = manager
        scope.launchBackgroundTask("housekeeping", log) { housekeeping() }
        log.log("started", "process" to settings.process, "zone" to settings.zone, "callers" to settings.callerAddress)
    }

    /**
     * Applies the values of [newSettings] that can change at run time: seeds, limits and times. Addresses and the zone
     * need a restart, and so does the retry window, because retries have already been counted over it.
     */
    fun reload(newSettings: GatewaySettings) {
        scope.launch {
            val previous = settings
            settings =
                previous.copy(
                    seeds = newSettings.seeds,
                    keyTrust = newSettings.keyTrust,
                    shutdownTime = newSettings.shutdownTime,
                    sharedLimits = newSettings.sharedLimits.copy(retryWindow = previous.sharedLimits.retryWindow),
                )
            peers.updateSeeds(newSettings.seeds)
            log.log(
                "settings_reloaded",
                "changed" to (settings != previous),
                "needs_restart" to (settings != newSettings),
                "seeds" to newSettings.seeds.joinToString(","),
                "key_trust_ms" to newSettings.keyTrust.inWholeMilliseconds,
            )
        }
    }

    /**
     * Stops gracefully: waits until the platform's load balancer in front of the gateways has removed this process,
     * finishes requests in progress, then calls [onStopped].
     */
    fun stop(
        signal: String,
        onStopped: () -> Unit,
    ) {
        scope.launch {
            if (state.isStopping) return@launch
            state.isStopping = true
            callerListenerState.closeAfterResponse = true
            log.log("stopping", "signal" to signal, "requests" to callerListenerState.requestsInProgress)
            val stopStartedAt = ProcessClock.monotonic()
            // Callers may still send requests on keep-alive connections, so these stay open until the platform's
            // load balancer has removed this process.
            while (ProcessClock.monotonic() - stopStartedAt <= ROTATION_REMOVAL_TIME) delay(STOP_POLL_INTERVAL)
            state.refusesNewRequests = true
            callerListenerState.closeIdle()
            while (
                callerListenerState.requestsInProgress > 0 &&
                ProcessClock.monotonic() - stopStartedAt <= settings.shutdownTime
            ) {
                delay(STOP_POLL_INTERVAL)
            }
            log.log("stopped", "requests" to callerListenerState.requestsInProgress)
            forwarder.endInProgress()
            onStopped()
        }
    }

    /** Stops the gateway immediately, without waiting for requests in progress. */
    override fun close() {
        scope.cancel()
        eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun listen(
        address: NetworkAddress,
        handler: CallerRequestHandler,
    ) = HttpListener(eventLoopGroup, listenerState(handler)).bind(address)

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

        /** Interval of the periodic clean-up; short compared with the 2 s within which lapsed servers may return. */
        val HOUSEKEEPING_INTERVAL = 500.milliseconds

        /** Interval at which a stopping process checks whether its requests are finished. */
        val STOP_POLL_INTERVAL = 50.milliseconds

        /**
         * Time after which no new callers arrive: the platform's load balancer in front of the gateways probes once per
         * second and removes a process after two failed probes.
         */
        val ROTATION_REMOVAL_TIME = 2.5.seconds
    }
}
