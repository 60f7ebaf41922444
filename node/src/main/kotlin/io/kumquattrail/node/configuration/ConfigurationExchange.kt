package io.kumquattrail.node.configuration

import com.github.michaelbull.result.fold
import io.grpc.StatusException
import io.kumquattrail.decision.configuration.ApplyOutcome
import io.kumquattrail.decision.configuration.ConfigurationState
import io.kumquattrail.decision.configuration.ExchangeAction
import io.kumquattrail.decision.configuration.ExchangePolicy
import io.kumquattrail.decision.configuration.Peer
import io.kumquattrail.decision.configuration.RecordSubscription
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.record.RecordKind
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.timeline.TimelineEvent
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.metrics.NodeMetrics
import io.kumquattrail.node.rpc.ChannelPool
import io.kumquattrail.node.timeline.TimelineRecorder
import io.kumquattrail.protocol.v1.ExchangeServiceGrpcKt
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import io.kumquattrail.protocol.v1.ExchangeMessage as ExchangeMessageProto

/**
 * Keeps the configuration in effect by reading the service and by exchange with peers.
 *
 * One coroutine owns the [ExchangePolicy]; everything else sends it commands.
 *
 * @property self address on which peers reach this process, once known.
 */
class ConfigurationExchange(
    private val scope: CoroutineScope,
    private val self: ProcessName,
    zone: ZoneName,
    subscription: RecordSubscription,
    private val service: ConfigurationServiceClient,
    private val channels: ChannelPool,
    private val clock: Clock,
    random: Random,
    private val metrics: NodeMetrics,
    private val timeline: TimelineRecorder,
) : ConfigurationView {
    private val log = PartLogger("node.configuration")
    private val state = ConfigurationState(PublishedRecordDecoder(), subscription)
    private val policy = ExchangePolicy(Peer(self, zone, subscription), state, random)
    private val commands = Channel<() -> List<ExchangeAction>>(Channel.UNLIMITED)
    private val snapshots = MutableStateFlow(ConfigurationSnapshot())

    override val current: StateFlow<ConfigurationSnapshot> = snapshots.asStateFlow()

    /** Serves the requests of peers. */
    val rpc: ExchangeServiceGrpcKt.ExchangeServiceCoroutineImplBase = Service()

    fun start() {
        scope.launch { run() }
        scope.launch { listPeers() }
    }

    override suspend fun confirm(): Boolean = service.records(current.value.records.revision, Duration.ZERO).isOk

    private suspend fun run() {
        perform(policy.start(clock.monotonic()))
        while (true) {
            val wait = (policy.nextTick - clock.monotonic()).coerceIn(SHORTEST_WAIT, LONGEST_WAIT)
            val command = withTimeoutOrNull(wait) { commands.receive() }
            perform(command?.invoke() ?: policy.tick(clock.monotonic()))
        }
    }

    private fun perform(actions: List<ExchangeAction>) = actions.forEach(::perform)

    private fun perform(action: ExchangeAction) {
        when (action) {
            is ExchangeAction.Send -> {
                scope.launch { send(action) }
            }

            is ExchangeAction.ReadService -> {
                scope.launch { read(action) }
            }

            is ExchangeAction.InEffect -> {
                noteInEffect(action.applied)
            }

            ExchangeAction.Confirmed -> {
                noteConfirmed()
            }

            is ExchangeAction.NotApplied -> {
                log.warn(
                    "delta not applied",
                    "source" to action.source,
                    "outcome" to action.outcome,
                )
            }
        }
    }

    private suspend fun send(action: ExchangeAction.Send) {
        val stub =
            ExchangeServiceGrpcKt
                .ExchangeServiceCoroutineStub(channels.channel(action.peer.value))
                .withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        val request = stamped(action.message.toProto())
        try {
            val answer = stub.exchange(request)
            countBytes(sent = request.serializedSize, received = answer.serializedSize)
            timeline.observe(answer.clockMilliseconds, answer.clockCounter)
            command { policy.answered(answer.toMessage(), clock.monotonic()) }
        } catch (_: StatusException) {
            command { policy.peerFailed(action.peer, clock.monotonic()) }
        }
    }

    private suspend fun read(action: ExchangeAction.ReadService) {
        service.records(action.after, action.wait).fold(
            success = { delta -> command { policy.serviceAnswered(delta, clock.monotonic()) } },
            failure = { error ->
                log.warn("configuration service did not answer", "error" to error)
                command { policy.serviceFailed(clock.monotonic()) }
            },
        )
    }

    private fun noteInEffect(applied: ApplyOutcome.Applied) {
        applied.rejected.forEach {
            log.warn("record rejected", "record" to it.key, "revision" to it.revision, "reason" to it.reason)
            metrics.rejectedRecords.labelValues(it.key.toString()).inc()
        }
        log.info("records in effect", "revision" to applied.revision, "changed" to applied.changed.size)
        metrics.revision.set(applied.revision.toDouble())
        val before = snapshots.value.records
        snapshots.value = ConfigurationSnapshot(state.records, state.confirmed)
        recordEvents(applied, before)
    }

    private fun recordEvents(
        applied: ApplyOutcome.Applied,
        before: RecordSet,
    ) {
        timeline.record(
            TimelineEvent.ConfigurationInEffect(
                revision = applied.revision,
                previous = applied.previous,
                changed = applied.changed.map { it.toString() },
                rejected = applied.rejected.map { it.key.toString() },
                confirmed = state.confirmed,
                source = "exchange",
            ),
        )
        applied.changed
            .filter { it.kind == RecordKind.ZONE.label }
            .map { ZoneName(it.name) }
            .forEach { zone ->
                val inService = state.records.zone(zone)?.inService == true
                val wasInService = before.zone(zone)?.inService == true
                if (inService && !wasInService) timeline.record(TimelineEvent.ZoneInService(zone, applied.revision))
                if (!inService && wasInService) timeline.record(TimelineEvent.ZoneOutOfService(zone, applied.revision))
            }
    }

    private fun noteConfirmed() {
        log.info("records confirmed", "revision" to state.revision)
        metrics.confirmed.set(1.0)
        snapshots.value = ConfigurationSnapshot(state.records, state.confirmed)
    }

    private suspend fun listPeers() {
        while (true) {
            service.virtualMachines().fold(
                success = { machines ->
                    val peers = machines.filterNot { it.leaving }.map(::peer)
                    command { policy.peersChanged(peers, clock.monotonic()) }
                },
                failure = { log.warn("list of VMs is not available", "error" to it) },
            )
            delay(if (current.value.records.revision == 0L) FIRST_LIST_INTERVAL else LIST_INTERVAL)
        }
    }

    private fun peer(machine: ListedVirtualMachine): Peer = Peer(ProcessName(machine.address), ZoneName(machine.zone))

    private fun stamped(message: ExchangeMessageProto): ExchangeMessageProto {
        val timestamp = timeline.timestamp()
        return message
            .toBuilder()
            .setClockMilliseconds(timestamp.milliseconds)
            .setClockCounter(timestamp.counter)
            .build()
    }

    private fun command(action: () -> List<ExchangeAction>) {
        commands.trySend(action)
    }

    private fun countBytes(
        sent: Int,
        received: Int,
    ) {
        metrics.controlBytes.labelValues("sent").inc(sent.toDouble())
        metrics.controlBytes.labelValues("received").inc(received.toDouble())
    }

    private inner class Service : ExchangeServiceGrpcKt.ExchangeServiceCoroutineImplBase() {
        override suspend fun exchange(request: ExchangeMessageProto): ExchangeMessageProto {
            timeline.observe(request.clockMilliseconds, request.clockCounter)
            val answer = CompletableDeferred<ExchangeMessageProto>()
            command {
                val reply = policy.requested(request.toMessage(), clock.monotonic())
                answer.complete(stamped(reply.answer.toProto()))
                reply.actions
            }
            return answer.await().also { countBytes(sent = it.serializedSize, received = request.serializedSize) }
        }
    }

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 5L
        val SHORTEST_WAIT = 1.milliseconds
        val LONGEST_WAIT = 1.seconds
        val FIRST_LIST_INTERVAL = 1.seconds
        val LIST_INTERVAL = 30.seconds
    }
}
