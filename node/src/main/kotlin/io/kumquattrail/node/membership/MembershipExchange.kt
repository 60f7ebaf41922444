package io.kumquattrail.node.membership

import com.github.michaelbull.result.onSuccess
import io.grpc.StatusException
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.membership.FailureDetector
import io.kumquattrail.decision.membership.ListedProcess
import io.kumquattrail.decision.membership.Member
import io.kumquattrail.decision.membership.MemberState
import io.kumquattrail.decision.membership.MembershipAction
import io.kumquattrail.decision.timeline.TimelineEvent
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.configuration.ConfigurationServiceClient
import io.kumquattrail.node.configuration.ListedVirtualMachine
import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.loop.DecisionLoop
import io.kumquattrail.node.rpc.ChannelPool
import io.kumquattrail.node.timeline.TimelineRecorder
import io.kumquattrail.protocol.v1.Delivered
import io.kumquattrail.protocol.v1.LeavingNotice
import io.kumquattrail.protocol.v1.MembershipServiceGrpcKt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import io.kumquattrail.protocol.v1.MembershipMessage as MembershipMessageProto

/**
 * Keeps the view of the other processes and tells when the platform stops this process's own VM.
 *
 * The list of VMs is read often only by a few watchers, chosen by rendezvous hashing; a watcher that sees a VM leave
 * tells the process there, which reads the list itself before it acts. All others read it seldom, so that the reads of
 * 1,200 processes stay far below the service's limit.
 */
class MembershipExchange(
    private val scope: CoroutineScope,
    private val self: ProcessName,
    zone: ZoneName,
    incarnation: Incarnation,
    private val service: ConfigurationServiceClient,
    private val channels: ChannelPool,
    private val clock: Clock,
    private val random: Random,
    private val timeline: TimelineRecorder,
) {
    private val log = PartLogger("node.membership")
    private val detector = FailureDetector(self, zone, incarnation, clock.wall(), random)
    private val loop =
        DecisionLoop(clock, nextTick = { detector.nextTick }, tick = detector::tick, perform = ::perform)
    private val current = MutableStateFlow<Map<ProcessName, Member>>(emptyMap())
    private val ownLeaving = MutableStateFlow(false)
    private val startedAt = clock.monotonic()
    private val notified = mutableSetOf<String>()

    /** All other processes that this one knows. */
    val members: StateFlow<Map<ProcessName, Member>> = current.asStateFlow()

    /** Whether the list of VMs shows this process's VM as leaving. */
    val isLeaving: StateFlow<Boolean> = ownLeaving.asStateFlow()

    /** Serves the messages of peers. */
    val rpc: MembershipServiceGrpcKt.MembershipServiceCoroutineImplBase = Service()

    fun start() {
        loop.start(scope) { now ->
            detector.start(now)
            emptyList()
        }
        scope.launch { readListRepeatedly() }
    }

    /** Tells peers that this process stops, so that none takes its silence for a failure. */
    fun leave() =
        loop.submit {
            detector.leave()
            emptyList()
        }

    private suspend fun readListRepeatedly() {
        while (true) {
            readList()
            delay(pause())
        }
    }

    private fun pause(): Duration =
        when {
            current.value.isEmpty() -> FIRST_INTERVAL
            isWatcher() -> WATCHER_INTERVAL
            clock.monotonic() - startedAt < YOUNG -> YOUNG_INTERVAL * (LEAST_SPREAD + random.nextDouble())
            else -> OTHER_INTERVAL * (LEAST_SPREAD + random.nextDouble())
        }

    private fun isWatcher(): Boolean {
        val live =
            current.value.values
                .filter { it.state == MemberState.ALIVE }
                .map { it.process } + self
        return self in RendezvousHash.rank("watcher", live) { it.value }.take(WATCHERS)
    }

    private suspend fun readList() {
        service.virtualMachines().onSuccess { machines ->
            val own = machines.find { it.address == self.value }
            ownLeaving.value = own?.leaving == true
            val listed = machines.map { ListedProcess(ProcessName(it.address), ZoneName(it.zone), it.leaving) }
            loop.submit { now -> detector.listChanged(listed, now).also { publish() } }
            if (isWatcher()) notifyLeaving(machines)
        }
    }

    private fun notifyLeaving(machines: List<ListedVirtualMachine>) {
        val leaving = machines.filter { it.leaving }.map { it.address }
        notified.retainAll(leaving.toSet())
        leaving.filter { it != self.value && notified.add(it) }.forEach { address ->
            scope.launch {
                try {
                    stub(ProcessName(address)).noteLeaving(LeavingNotice.newBuilder().setProcess(address).build())
                } catch (_: StatusException) {
                    log.info("leaving VM does not answer", "process" to address)
                }
            }
        }
    }

    private fun perform(action: MembershipAction) {
        when (action) {
            is MembershipAction.Send -> {
                scope.launch { send(action) }
            }

            is MembershipAction.Changed -> {
                val change = action.change
                timeline.record(
                    TimelineEvent.MembershipChanged(
                        process = change.member.process,
                        state = change.member.state.label,
                        previous = change.previous?.label,
                        cause = change.cause.name.lowercase(),
                    ),
                )
            }

            is MembershipAction.VerdictSuspended -> {
                log.info("verdict suspended", "process" to action.suspect, "silent" to action.silentPeers)
            }

            is MembershipAction.Refuted -> {
                log.info("suspicion refuted", "counter" to action.counter)
            }
        }
        publish()
    }

    private fun publish() {
        current.value = detector.view.members
    }

    private suspend fun send(action: MembershipAction.Send) {
        try {
            stub(action.peer).deliver(action.message.toProto())
        } catch (_: StatusException) {
            // The detector takes silence itself as the sign; a refused connection proves no more than a lost message.
            return
        }
    }

    private fun stub(peer: ProcessName) =
        MembershipServiceGrpcKt
            .MembershipServiceCoroutineStub(channels.channel(peer.value))
            .withDeadlineAfter(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)

    private inner class Service : MembershipServiceGrpcKt.MembershipServiceCoroutineImplBase() {
        override suspend fun deliver(request: MembershipMessageProto): Delivered {
            request.toMessage()?.let { message -> loop.submit { now -> detector.received(message, now) } }
            return Delivered.getDefaultInstance()
        }

        override suspend fun noteLeaving(request: LeavingNotice): Delivered {
            if (request.process == self.value) scope.launch { readList() }
            return Delivered.getDefaultInstance()
        }
    }

    private companion object {
        const val WATCHERS = 6
        const val CALL_TIMEOUT_MILLISECONDS = 1_000L
        const val LEAST_SPREAD = 0.5
        val FIRST_INTERVAL = 1.seconds
        val WATCHER_INTERVAL = 500.milliseconds
        val OTHER_INTERVAL = 30.seconds

        // Processes that start together see each other only as the list fills.
        val YOUNG = 30.seconds
        val YOUNG_INTERVAL = 3.seconds
    }
}
