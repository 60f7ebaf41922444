package io.kumquattrail.agent

import io.kumquattrail.agent.backend.BackendClient
import io.kumquattrail.agent.work.AdmissionEffects
import io.kumquattrail.agent.work.AdmissionGate
import io.kumquattrail.agent.work.KeyGate
import io.kumquattrail.agent.work.WorkExecutor
import io.kumquattrail.agent.work.WorkRpc
import io.kumquattrail.decision.admission.AdmissionAction
import io.kumquattrail.decision.admission.AdmissionController
import io.kumquattrail.decision.admission.AdmissionEvent
import io.kumquattrail.decision.admission.ColdSign
import io.kumquattrail.decision.admission.DrainState
import io.kumquattrail.decision.admission.limits
import io.kumquattrail.decision.configuration.RecordSubscription
import io.kumquattrail.decision.idempotency.KeyTable
import io.kumquattrail.decision.idempotency.KeyTableLimits
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.limit.FairQueue
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.timeline.ColdCause
import io.kumquattrail.decision.timeline.DrainCause
import io.kumquattrail.decision.timeline.TimelineEvent
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.clock.SystemClock
import io.kumquattrail.node.configuration.ConfigurationExchange
import io.kumquattrail.node.configuration.ConfigurationServiceClient
import io.kumquattrail.node.configuration.ConfigurationSnapshot
import io.kumquattrail.node.http.OperationsServer
import io.kumquattrail.node.http.Readiness
import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.metrics.NodeMetrics
import io.kumquattrail.node.rpc.ChannelPool
import io.kumquattrail.node.rpc.RpcServer
import io.kumquattrail.node.settings.AgentSettings
import io.kumquattrail.node.timeline.TimelineRecorder
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs beside one backend server and is the only process that sends it work.
 *
 * @property random source of incarnation, keys and jitter; a test may seed it.
 */
class AgentProcess(
    private val settings: AgentSettings,
    private val vertx: Vertx,
    private val clock: Clock = SystemClock,
    private val random: Random,
) {
    private val log = PartLogger("agent")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val server = ServerName(settings.server)
    private val incarnation = Incarnation.random(random)
    private val metrics = NodeMetrics()
    private val timeline = TimelineRecorder(ProcessName(settings.node.rpc.toString()), settings.node.zone, clock)
    private val channels = ChannelPool(settings.node.transportSecurity)
    private val backend = BackendClient(vertx, settings.backend)
    private val service = ConfigurationServiceClient(vertx, settings.node.configurationServices, random)
    private val controller = AdmissionController(incarnation, FairQueue())
    private val admissions = AdmissionGate(controller, clock, Effects())
    private val configuration =
        ConfigurationExchange(
            scope = scope,
            self = ProcessName(settings.node.rpc.toString()),
            zone = settings.node.zone,
            subscription = RecordSubscription.AGENT,
            service = service,
            channels = channels,
            clock = clock,
            random = random,
            metrics = metrics,
            timeline = timeline,
        )
    private lateinit var rpc: RpcServer
    private lateinit var operations: OperationsServer

    @Volatile
    private var stopping = false

    @Volatile
    private var drainStartedAt: MonotonicTime? = null

    /** Load of the backend server as the agent knows it. */
    val load get() = admissions.loadReport()

    /** Opens the ports and begins to take work as soon as the records describe the server. */
    suspend fun start() {
        val keyTable = lazy(::keyTable)
        val keys = KeyGate(keyTable, configuration, clock)
        val executor = WorkExecutor(incarnation, server, admissions, keys, backend, clock, scope, timeline)
        val work = WorkRpc(service = { ownRecord()?.service }, executor, admissions, keys)
        val services = listOf(work, configuration.rpc, timeline.rpc)
        rpc = RpcServer(settings.node.rpc, services, settings.node.transportSecurity)
        rpc.start()
        // Read now and not at the first call, whose own key would otherwise be older than this table.
        keyTable.value
        operations = OperationsServer(vertx, settings.node.operations, metrics, AgentReadiness())
        operations.start()
        scope.launch { configuration.current.collect(::recordsChanged) }
        scope.launch { tick() }
        configuration.start()
        log.info("started", "server" to server, "incarnation" to incarnation, "backend" to settings.backend)
    }

    /** Takes no new work, waits for work in progress to end, then closes. */
    suspend fun shutdown() {
        stopping = true
        log.info("draining", "running" to load.running)
        recordsChanged(configuration.current.value)
        withTimeoutOrNull(settings.node.drainTimeout) {
            while (admissions.drainState == DrainState.DRAINING) delay(DRAIN_POLL)
        }
        rpc.stop(settings.node.drainTimeout)
        close()
        log.info("stopped")
    }

    /** Closes at once, as a process that dies does. */
    suspend fun kill() {
        rpc.kill()
        close()
    }

    private suspend fun close() {
        scope.cancel()
        operations.stop()
        backend.close()
        service.close()
        channels.close()
    }

    // Created after the published address is bound, so that no earlier agent of this address still runs.
    private fun keyTable(): KeyTable =
        KeyTable(
            server = server,
            incarnation = incarnation,
            startedAt = clock.wall(),
            random = random,
            limits = KeyTableLimits(keyClockError = settings.keyClockError),
        )

    private fun ownRecord(): BackendServerRecord? =
        configuration.current.value.records
            .server(server)

    private fun recordsChanged(snapshot: ConfigurationSnapshot) {
        val record = snapshot.records.server(server) ?: return
        val inService = !stopping && snapshot.records.mayReceiveWork(record)
        noteDrainStart(record, inService, snapshot)
        admissions.report(AdmissionEvent.RecordsChanged(record.limits(), inService, snapshot.records.revision))
    }

    private fun noteDrainStart(
        record: BackendServerRecord,
        inService: Boolean,
        snapshot: ConfigurationSnapshot,
    ) {
        if (inService) drainStartedAt = null
        if (inService || drainStartedAt != null) return
        drainStartedAt = clock.monotonic()
        val cause =
            when {
                stopping -> DrainCause.PROCESS_STOPPING
                snapshot.records.zone(record.zone)?.inService != true -> DrainCause.ZONE_OUT_OF_SERVICE
                else -> DrainCause.SERVER_OUT_OF_SERVICE
            }
        timeline.record(TimelineEvent.DrainStarted(server.value, record.zone, cause, load.running))
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK_INTERVAL)
            admissions.report(AdmissionEvent.Tick)
            val report = load
            metrics.running.set(report.running.toDouble())
            metrics.cold.set(if (report.cold) 1.0 else 0.0)
        }
    }

    private inner class Effects : AdmissionEffects {
        override fun readServer() {
            scope.launch {
                val readStartedAt = clock.monotonic()
                val status = backend.status() ?: return@launch
                val observed = AdmissionEvent.ServerObserved(status.incarnation, status.running, null, readStartedAt)
                admissions.report(observed)
            }
        }

        override fun confirmRecords() {
            scope.launch { if (configuration.confirm()) admissions.report(AdmissionEvent.RecordsConfirmed) }
        }

        override fun noteCold(action: AdmissionAction.NoteCold) =
            log.info(
                "server counts as cold",
                "sign" to action.sign,
            )

        override fun noteDrained() = log.info("drained")
    }

    private inner class AgentReadiness : Readiness {
        override fun missing(): List<String> =
            buildList {
                if (stopping) add("shutting down")
                if (ownRecord() == null) add("no record of the backend server $server")
            }

        override fun remarks(): List<String> =
            if (configuration.current.value.confirmed) emptyList() else listOf("unconfirmed")
    }

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
        val DRAIN_POLL = 20.milliseconds
    }
}

private fun ColdSign.toCause(): ColdCause =
    when (this) {
        ColdSign.AGENT_STARTED -> ColdCause.AGENT_STARTED
        ColdSign.SERVER_INCARNATION_CHANGED -> ColdCause.SERVER_RESTARTED
        ColdSign.CONNECTION_RESET -> ColdCause.CONNECTION_RESET
        ColdSign.LATE_FIRST_TOKEN -> ColdCause.LATE_FIRST_TOKEN
        ColdSign.SILENT_SERVER -> ColdCause.SILENT_SERVER
    }
