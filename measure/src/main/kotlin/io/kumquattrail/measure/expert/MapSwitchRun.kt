package io.kumquattrail.measure.expert

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.LayerPlacement
import io.kumquattrail.decision.expert.change.Commit
import io.kumquattrail.decision.expert.change.EngineCommand
import io.kumquattrail.decision.expert.change.GroupMessage
import io.kumquattrail.decision.expert.change.MapAnswer
import io.kumquattrail.decision.expert.change.MapRequestKind
import io.kumquattrail.decision.expert.change.PermitSteps
import io.kumquattrail.decision.expert.change.Prepare
import io.kumquattrail.decision.expert.change.Query
import io.kumquattrail.decision.expert.change.Schedule
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Says how a group came through one map change with faults. */
internal data class MapSwitchResult(
    val tornSteps: Int,
    val isStuck: Boolean,
    val timeToOneMap: Duration,
    val reachedStep: Boolean,
)

/** Runs one map change of a [SimulatedGroup] and injects [faults], the first of them when the change reaches [step]. */
internal class MapSwitchRun(
    private val faults: List<MapSwitchFault>,
    private val step: MapSwitchStep,
    checksFencing: Boolean,
    seed: Long,
) : GroupObserver {
    private val random = Random(seed)
    private val group =
        SimulatedGroup(SimulatedGroupSettings(map(0), RANKS, checksFencing), Random(random.nextLong()))
    private val queue get() = group.queue
    private var isArmed = false
    private var faultsEnd = MonotonicTime.ZERO

    private var lossRatio = 0.0
    private var duplicateRatio = 0.0
    private var slowRatio = 0.0
    private var slowest = Duration.ZERO
    private var partitioned = setOf<Int>()
    private val lateCommandRanks = mutableSetOf<Int>()
    private var isStalling = false

    /** Messages that the coordinator still sends before it dies; negative when it does not die. */
    private var sendsLeft = -1

    /** Runs the change until the group has one map again after the last fault, and then until late messages are in. */
    fun run(): MapSwitchResult {
        group.observer = this
        group.network = Network(::deliveries)
        group.commandDelay = ::commandDelay
        group.stall = { if (isStalling) STALL_TIME else Duration.ZERO }
        queue.runUntil(MonotonicTime.ZERO + BOOT_TIME) { group.hasOneMap && group.completedSteps > STEPS_BEFORE }
        check(group.hasOneMap) { "the group did not start" }
        isArmed = true
        val started = queue.now
        group.propose(0, map(1))
        queue.runUntil(started + TRIGGER_TIME) { !isArmed }
        val wasReached = !isArmed
        if (isArmed) injectAll()
        queue.runUntil(faultsEnd)
        val end = queue.now
        var settledSteps = -1L
        queue.runUntil(end + SETTLE_LIMIT) {
            if (!group.hasOneMap) settledSteps = -1
            if (group.hasOneMap && settledSteps < 0) settledSteps = group.completedSteps
            settledSteps >= 0 && group.completedSteps > settledSteps + 1
        }
        val isStuck = !(settledSteps >= 0 && group.completedSteps > settledSteps + 1)
        val timeToOneMap = queue.now - end
        queue.runUntil(queue.now + LATE_LIMIT)
        // A late message may have begun another change.
        queue.runUntil(queue.now + SETTLE_LIMIT) { group.hasOneMap }
        return MapSwitchResult(group.tornSteps, isStuck || !group.hasOneMap, timeToOneMap, wasReached)
    }

    override fun sending(
        from: Int,
        to: Int,
        message: GroupMessage,
    ) {
        if (from == 0 && sendsLeft >= 0 && sendsLeft-- == 0) restartAgent(0)
        when (message) {
            is Query -> reached(MapSwitchStep.QUERY_SENT)
            is Prepare -> reached(MapSwitchStep.PREPARE_SENT)
            is Schedule -> reached(MapSwitchStep.SCHEDULE_SENT)
            is Commit -> reached(MapSwitchStep.COMMIT_SENT)
            else -> Unit
        }
    }

    override fun delivering(
        to: Int,
        message: GroupMessage,
    ) {
        when (message) {
            is Query -> {
                reached(MapSwitchStep.QUERY_RECEIVED)
            }

            is Prepare -> {
                reached(MapSwitchStep.PREPARE_RECEIVED)
            }

            is Commit -> {
                reached(MapSwitchStep.COMMIT_RECEIVED)
            }

            is MapAnswer -> {
                if (message.kind == MapRequestKind.SCHEDULE && message.refusal == null) reached(MapSwitchStep.PROMISED)
            }

            else -> {
                Unit
            }
        }
    }

    override fun commanding(
        rank: Int,
        command: EngineCommand,
    ) {
        val head = group.committedOf(rank)
        if (command is PermitSteps && head != null && command.id.version == head.version) {
            if (command.first == head.firstStep) reached(MapSwitchStep.NEW_MAP_PERMITTED)
        }
    }

    override fun loaded(rank: Int) = reached(MapSwitchStep.WEIGHTS_LOADED)

    override fun stepCompleted(step: Long) {
        val head = group.committedOf(0) ?: return
        if (step + 1 == head.firstStep) reached(MapSwitchStep.STEP_REACHED)
        if (step == head.firstStep) reached(MapSwitchStep.IN_EFFECT)
    }

    private fun reached(reached: MapSwitchStep) {
        if (isArmed && reached == step) injectAll()
    }

    /** Injects the first fault now and the others now or a little later. */
    private fun injectAll() {
        isArmed = false
        faults.forEachIndexed { index, fault ->
            val delay =
                if (index == 0 ||
                    random.nextBoolean()
                ) {
                    Duration.ZERO
                } else {
                    random.nextLong(1, 1_200).milliseconds
                }
            if (delay == Duration.ZERO) inject(fault) else queue.after(delay) { inject(fault) }
            faultsEnd = maxOf(faultsEnd, queue.now + delay)
        }
    }

    private fun inject(fault: MapSwitchFault) {
        val victim = random.nextInt(RANKS)
        when (fault) {
            MapSwitchFault.RANK_STALLS -> {
                isStalling = true
                during(STALL_TIME) { isStalling = false }
            }

            MapSwitchFault.MESSAGES_DELAYED -> {
                slowRatio = 1.0
                slowest = 1.seconds
                during(WINDOW) { slowRatio = 0.0 }
            }

            MapSwitchFault.MESSAGES_LOST -> {
                lossRatio = LOSS_RATIO
                during(WINDOW) { lossRatio = 0.0 }
            }

            MapSwitchFault.MESSAGES_DUPLICATED -> {
                duplicateRatio = DUPLICATE_RATIO
                during(WINDOW) { duplicateRatio = 0.0 }
            }

            MapSwitchFault.MESSAGES_REORDERED -> {
                slowRatio = REORDER_RATIO
                slowest = LATEST
                during(WINDOW) { slowRatio = 0.0 }
            }

            MapSwitchFault.COORDINATOR_DIES -> {
                restartAgent(0)
            }

            MapSwitchFault.COORDINATOR_DIES_SENDING -> {
                sendsLeft = 1 + random.nextInt(RANKS - 1)
            }

            MapSwitchFault.AGENT_DIES -> {
                restartAgent(victim)
            }

            MapSwitchFault.AGENT_DIES_COMMANDS_LATE -> {
                restartAgentWithLateCommands(victim)
            }

            MapSwitchFault.ALL_AGENTS_DIE_COMMANDS_LATE -> {
                repeat(RANKS) { restartAgentWithLateCommands(it) }
            }

            MapSwitchFault.COORDINATOR_PAUSED -> {
                group.pauseAgent(0, PAUSE)
                during(PAUSE) {}
            }

            MapSwitchFault.AGENT_PAUSED -> {
                group.pauseAgent(victim, PAUSE)
                during(PAUSE) {}
            }

            MapSwitchFault.SECOND_COORDINATOR -> {
                val second = 1 + random.nextInt(RANKS - 1)
                group.activateCoordinator(second)
                queue.after(random.nextLong(100).milliseconds) { group.propose(second, map(2)) }
                during(WINDOW) { group.deactivateCoordinator(second) }
            }

            MapSwitchFault.PARTITION -> {
                partitioned = (0 until RANKS).filter { random.nextBoolean() }.toSet()
                during(WINDOW) { partitioned = emptySet() }
            }

            MapSwitchFault.ENGINE_COLD -> {
                // A running step cannot be restarted from within its own callbacks.
                during(Duration.ZERO) { group.restartEngine(victim) }
            }

            MapSwitchFault.ALL_ENGINES_COLD -> {
                during(Duration.ZERO) { repeat(RANKS) { group.restartEngine(it) } }
            }

            MapSwitchFault.VM_REPLACED -> {
                restartAgent(victim)
                during(Duration.ZERO) { group.restartEngine(victim) }
            }
        }
    }

    private fun during(
        duration: Duration,
        end: () -> Unit,
    ) {
        faultsEnd = maxOf(faultsEnd, queue.now + duration)
        queue.after(duration, end)
    }

    private fun restartAgent(rank: Int) {
        group.restartAgent(rank, SimulatedGroup.RESTART_DELAY)
        during(SimulatedGroup.RESTART_DELAY) {}
    }

    private fun restartAgentWithLateCommands(rank: Int) {
        lateCommandRanks += rank
        during(random.nextLong(0, 30).milliseconds) {
            lateCommandRanks -= rank
            restartAgent(rank)
        }
    }

    private fun commandDelay(rank: Int): Duration =
        if (rank in lateCommandRanks) {
            random.nextLong(SimulatedGroup.RESTART_DELAY.inWholeMilliseconds, LATEST.inWholeMilliseconds).milliseconds
        } else {
            random.nextLong(50, 300).microseconds
        }

    private fun deliveries(
        from: Int,
        to: Int,
    ): List<Duration> {
        if (from == to) return listOf(Duration.ZERO)
        if ((from in partitioned) != (to in partitioned) || random.nextDouble() < lossRatio) return emptyList()
        val first = delay()
        return if (random.nextDouble() < duplicateRatio) {
            listOf(first, random.nextLong(LATEST.inWholeMilliseconds).milliseconds)
        } else {
            listOf(first)
        }
    }

    private fun delay(): Duration =
        if (random.nextDouble() < slowRatio) {
            random.nextLong(1, slowest.inWholeMilliseconds).milliseconds
        } else {
            random.nextLong(200, 2_000).microseconds
        }

    private companion object {
        const val RANKS = 4
        const val STEPS_BEFORE = 5L
        const val LOSS_RATIO = 0.4
        const val DUPLICATE_RATIO = 0.7
        const val REORDER_RATIO = 0.5
        val BOOT_TIME = 10.seconds
        val TRIGGER_TIME = 5.seconds
        val SETTLE_LIMIT = 30.seconds
        val WINDOW = 1_500.milliseconds
        val STALL_TIME = 1_500.milliseconds
        val PAUSE = 2.seconds
        val LATEST = 2_500.milliseconds
        val LATE_LIMIT = 3.seconds

        /** Creates one of several maps of a layer with four experts and two slots a rank. */
        fun map(number: Int): ExpertMap {
            val experts = IntArray(RANKS * 2) { (it + number) % RANKS }
            val placement = LayerPlacement.of(RANKS, 2, experts, DoubleArray(RANKS * 2) { 0.5 })
            return ExpertMap(persistentListOf(placement))
        }
    }
}
