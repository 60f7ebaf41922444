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
import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.admission.limits
import io.kumquattrail.decision.configuration.RecordSubscription
import io.kumquattrail.decision.idempotency.KeyTable
import io.kumquattrail.decision.idempotency.KeyTableLimits
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.limit.FairQueue
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.timeline.ColdCause
import io.kumquattrail.decision.timeline.DrainCause
import io.kumquattrail.decision.timeline.TimelineEvent
import io.kumquattrail.node.NodeRuntime
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.clock.SystemClock
import io.kumquattrail.node.http.Readiness
import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.settings.AgentSettings
import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs beside one backend server and is the only process that sends it work.
 *
 * @param random source of incarnation, keys and jitter; a test may seed it.
 */
class AgentProcess(
    private val settings: AgentSettings,
    vertx: Vertx,
    private val clock: Clock = SystemClock,
    random: Random,
) {
    private val log = PartLogger("agent")
    private val server = ServerName(settings.server)
    private val node = NodeRuntime(settings.node, vertx, clock, random, RecordSubscription.AGENT)
    private val effects = Effects()
    private val backend = BackendClient(vertx, settings.backend, onConnectionClosed = { effects.readServer() })
    private val admissions = AdmissionGate(AdmissionController(node.incarnation, FairQueue()), clock, effects)

    @Volatile
    private var stopping = false

    @Volatile
    private var drainStartedAt: MonotonicTime? = null

    /** Load of the backend server as the agent knows it. */
    val load: LoadReport get() = admissions.loadReport()

    /** Opens the ports and begins to take work as soon as the records describe the server. */
    suspend fun start() {
        val keyTable = lazy(::keyTable)
        val keys = KeyGate(keyTable, node.configuration, clock)
        val executor = WorkExecutor(node, server, admissions, keys, backend)
        val work = WorkRpc(service = { ownRecord()?.service }, executor, admissions, keys)
        node.openRpc(listOf(work))
        // Read now and not at the first call, whose own key would otherwise be older than this table.
        keyTable.value
        node.scope.launch { node.configuration.current.collect { serviceChanged() } }
        node.scope.launch { node.membership.isLeaving.collect { serviceChanged() } }
        node.scope.launch { tick() }
        node.start(AgentReadiness())
        log.info("started", "server" to server, "incarnation" to node.incarnation, "backend" to settings.backend)
    }

    /** Takes no new work, waits for work in progress to end, then closes. */
    suspend fun shutdown() {
        stopping = true
        log.info("draining", "running" to load.running)
        serviceChanged()
        withTimeoutOrNull(settings.node.drainTimeout) {
            while (admissions.drainState == DrainState.DRAINING) delay(DRAIN_POLL)
        }
        node.stop(settings.node.drainTimeout)
        backend.close()
        log.info("stopped")
    }

    /** Closes at once, as a process that dies does. */
    suspend fun kill() {
        node.kill()
        backend.close()
    }

    // Created after the published address is bound, so that no earlier agent of this address still runs.
    private fun keyTable(): KeyTable =
        KeyTable(
            server = server,
            incarnation = node.incarnation,
            startedAt = clock.wall(),
            random = node.random,
            limits = KeyTableLimits(KEY_ENTRIES, KEY_ANSWER_BYTES, settings.keyClockError),
        )

    // A record with another address describes another agent, which may own the server's keys.
    private fun ownRecord(): BackendServerRecord? =
        node.records.server(server)?.takeIf { it.address == node.name.value }

    private fun serviceChanged() {
        val records = node.records
        val record = ownRecord() ?: return
        val cause =
            when {
                stopping -> DrainCause.PROCESS_STOPPING
                node.membership.isLeaving.value -> DrainCause.VM_LEAVING
                records.zone(record.zone)?.inService != true -> DrainCause.ZONE_OUT_OF_SERVICE
                !record.inService -> DrainCause.SERVER_OUT_OF_SERVICE
                else -> null
            }
        noteDrainStart(record, cause)
        admissions.report(AdmissionEvent.RecordsChanged(record.limits(), inService = cause == null, records.revision))
    }

    private fun noteDrainStart(
        record: BackendServerRecord,
        cause: DrainCause?,
    ) {
        if (cause == null) drainStartedAt = null
        if (cause == null || drainStartedAt != null) return
        drainStartedAt = clock.monotonic()
        node.timeline.record(TimelineEvent.DrainStarted(server.value, record.zone, cause, load.running))
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK_INTERVAL)
            admissions.report(AdmissionEvent.Tick)
            val report = load
            node.metrics.running.set(report.running.toDouble())
            node.metrics.cold.set(if (report.cold) 1.0 else 0.0)
        }
    }

    private inner class Effects : AdmissionEffects {
        override fun readServer() {
            node.scope.launch {
                val readStartedAt = clock.monotonic()
                val status = backend.status() ?: return@launch
                val observed = AdmissionEvent.ServerObserved(status.incarnation, status.running, null, readStartedAt)
                admissions.report(observed)
            }
        }

        override fun confirmRecords() {
            node.scope.launch { if (node.configuration.confirm()) admissions.report(AdmissionEvent.RecordsConfirmed) }
        }

        override fun noteCold(action: AdmissionAction.NoteCold) {
            log.info("server counts as cold", "sign" to action.sign)
            val limit = load.concurrencyLimit
            node.timeline.record(TimelineEvent.ServerCold(server, settings.node.zone, action.sign.toCause(), limit))
        }

        override fun noteDrained() {
            log.info("drained")
            val after = drainStartedAt?.let { clock.monotonic() - it } ?: Duration.ZERO
            node.timeline.record(TimelineEvent.DrainFinished(server.value, settings.node.zone, after))
        }
    }

    private inner class AgentReadiness : Readiness {
        override fun missing(): List<String> =
            buildList {
                if (stopping) add("shutting down")
                if (ownRecord() == null) add("no record of the backend server $server at ${node.name}")
            }

        override fun remarks(): List<String> =
            if (node.configuration.current.value.confirmed) emptyList() else listOf("unconfirmed")
    }

    private companion object {
        // The admission controller takes an interval above 250 ms for missing ticks.
        val TICK_INTERVAL = 200.milliseconds
        val DRAIN_POLL = 20.milliseconds

        // The agent has a heap of 32 MB.
        const val KEY_ENTRIES = 20_000
        const val KEY_ANSWER_BYTES = 8L * 1024 * 1024
    }
}

private fun ColdSign.toCause(): ColdCause =
    when (this) {
        ColdSign.AGENT_STARTED -> ColdCause.AGENT_STARTED
        ColdSign.SERVER_INCARNATION_CHANGED -> ColdCause.SERVER_RESTARTED
        ColdSign.CONNECTION_RESET -> ColdCause.CONNECTION_RESET
        ColdSign.LATE_FIRST_TOKEN -> ColdCause.LATE_FIRST_TOKEN
        ColdSign.SILENT_SERVER -> ColdCause.SILENT_SERVER
        ColdSign.AGENT_PAUSED -> ColdCause.AGENT_PAUSED
    }
