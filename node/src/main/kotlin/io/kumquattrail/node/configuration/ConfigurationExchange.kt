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
import io.kumquattrail.decision.membership.Member
import io.kumquattrail.decision.membership.MemberState
import io.kumquattrail.decision.record.RecordKind
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.timeline.TimelineEvent
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.loop.DecisionLoop
import io.kumquattrail.node.metrics.NodeMetrics
import io.kumquattrail.node.rpc.ChannelPool
import io.kumquattrail.node.timeline.TimelineRecorder
import io.kumquattrail.protocol.v1.ExchangeServiceGrpcKt
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import io.kumquattrail.protocol.v1.ExchangeMessage as ExchangeMessageProto

/**
 * Keeps the configuration in effect by reading the service and by exchange with peers.
 *
 * @property members processes with which records are exchanged.
 * @property attachments further data that travels with the messages.
 */
class ConfigurationExchange(
    private val scope: CoroutineScope,
    self: ProcessName,
    zone: ZoneName,
    subscription: RecordSubscription,
    private val service: ConfigurationServiceClient,
    private val channels: ChannelPool,
    private val clock: Clock,
    random: Random,
    private val metrics: NodeMetrics,
    private val timeline: TimelineRecorder,
    private val members: StateFlow<Map<ProcessName, Member>>,
    private val attachments: List<ExchangeAttachment> = emptyList(),
) : ConfigurationView {
    private val log = PartLogger("node.configuration")
    private val state = ConfigurationState(PublishedRecordDecoder(), subscription)
    private val policy = ExchangePolicy(Peer(self, zone, subscription), state, random)
    private val loop =
        DecisionLoop(clock, nextTick = { policy.nextTick }, tick = policy::tick, perform = ::perform)
    private val snapshots = MutableStateFlow(ConfigurationSnapshot())

    override val current: StateFlow<ConfigurationSnapshot> = snapshots.asStateFlow()

    /** Serves the requests of peers. */
    val rpc: ExchangeServiceGrpcKt.ExchangeServiceCoroutineImplBase = Service()

    fun start() {
        loop.start(scope, policy::start)
        scope.launch { members.collect { submitPeers() } }
    }

    override suspend fun confirm(): Boolean = service.records(current.value.records.revision, Duration.ZERO).isOk

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
            take(answer)
            loop.submit { now -> policy.answered(answer.toMessage(), now) }
        } catch (_: StatusException) {
            loop.submit { now -> policy.peerFailed(action.peer, now) }
        }
    }

    private suspend fun read(action: ExchangeAction.ReadService) {
        service.records(action.after, action.wait).fold(
            success = { delta -> loop.submit { now -> policy.serviceAnswered(delta, now) } },
            failure = { error ->
                log.warn("configuration service did not answer", "error" to error)
                loop.submit(policy::serviceFailed)
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
        // Which peers are agents follows from the records. Without this, gateways took agents for readers of the service,
        // the agents did not agree, and nobody read it.
        submitPeers()
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

    private fun submitPeers() = loop.submit { now -> policy.peersChanged(peers(members.value), now) }

    // Agents keep no organisations, so a gateway cannot learn everything from them.
    private fun peers(listed: Map<ProcessName, Member>): List<Peer> {
        val agents = state.records.servers.mapTo(HashSet()) { it.address }
        return listed.values
            .filter { it.state == MemberState.ALIVE }
            .map { member ->
                val subscription =
                    if (member.process.value in agents) RecordSubscription.AGENT else RecordSubscription.ALL
                Peer(member.process, member.identity.zone ?: UNKNOWN_ZONE, subscription)
            }
    }

    private fun stamped(message: ExchangeMessageProto): ExchangeMessageProto {
        val timestamp = timeline.timestamp()
        val builder = message.toBuilder()
        attachments.forEach { it.attach(builder) }
        return builder
            .setClockMilliseconds(timestamp.milliseconds)
            .setClockCounter(timestamp.counter)
            .build()
    }

    private fun take(message: ExchangeMessageProto) {
        timeline.observe(message.clockMilliseconds, message.clockCounter)
        attachments.forEach { it.receive(message) }
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
            take(request)
            val answer = CompletableDeferred<ExchangeMessageProto>()
            loop.submit { now ->
                val reply = policy.requested(request.toMessage(), now)
                answer.complete(stamped(reply.answer.toProto()))
                reply.actions
            }
            return answer.await().also { countBytes(sent = it.serializedSize, received = request.serializedSize) }
        }
    }

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 5L
        val UNKNOWN_ZONE = ZoneName("unknown")
    }
}
