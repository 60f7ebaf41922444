package io.kumquattrail.measure.expert

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.change.CommittedMap
import io.kumquattrail.decision.expert.change.EngineCommand
import io.kumquattrail.decision.expert.change.EngineReport
import io.kumquattrail.decision.expert.change.GroupMessage
import io.kumquattrail.decision.expert.change.LoadMap
import io.kumquattrail.decision.expert.change.LoadedMap
import io.kumquattrail.decision.expert.change.LoadedMapId
import io.kumquattrail.decision.expert.change.MapAnswer
import io.kumquattrail.decision.expert.change.MapChangeAction
import io.kumquattrail.decision.expert.change.MapChangeCoordinator
import io.kumquattrail.decision.expert.change.MapChangeOutcome
import io.kumquattrail.decision.expert.change.MapChangeSettings
import io.kumquattrail.decision.expert.change.MapGuard
import io.kumquattrail.decision.expert.change.MapGuardAction
import io.kumquattrail.decision.expert.change.MapGuardSettings
import io.kumquattrail.decision.expert.change.MapRequest
import io.kumquattrail.decision.expert.change.MapVersion
import io.kumquattrail.decision.expert.change.OutcomeAnswer
import io.kumquattrail.decision.expert.change.OutcomeRequest
import io.kumquattrail.decision.expert.change.PermitSteps
import io.kumquattrail.decision.expert.change.ProposalNumber
import io.kumquattrail.decision.expert.change.VersionedMap
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Holds the parameters of a [SimulatedGroup].
 *
 * @property initialMap map that the coordinator proposes for a group without a map.
 * @property loadTime time that a rank's engine takes to load a map.
 * @property stepTime time that all ranks together take for a step.
 */
internal data class SimulatedGroupSettings(
    val initialMap: ExpertMap,
    val ranks: Int = 4,
    val checksFencing: Boolean = false,
    val tickInterval: Duration = 25.milliseconds,
    val guard: MapGuardSettings =
        MapGuardSettings(
            checksFencing = checksFencing,
            readInterval = 50.milliseconds,
            askInterval = 100.milliseconds,
        ),
    val change: MapChangeSettings =
        MapChangeSettings(
            retryInterval = 100.milliseconds,
            loadPollInterval = 100.milliseconds,
        ),
    val stepTime: Duration = 20.milliseconds,
    val loadTime: (rank: Int, map: LoadedMap) -> Duration = { _, _ -> 60.milliseconds },
)

/** Says how a message between two agents travels. */
internal fun interface Network {
    /** Returns the delay of each copy that arrives; no copy when the message is lost. */
    fun deliveries(
        from: Int,
        to: Int,
    ): List<Duration>
}

/** Observes a [SimulatedGroup]; faults are injected from here, before the observed thing has its effect. */
internal interface GroupObserver {
    fun sending(
        from: Int,
        to: Int,
        message: GroupMessage,
    ) = Unit

    fun delivering(
        to: Int,
        message: GroupMessage,
    ) = Unit

    fun commanding(
        rank: Int,
        command: EngineCommand,
    ) = Unit

    fun loaded(rank: Int) = Unit

    fun stepCompleted(step: Long) = Unit
}

/**
 * Runs the agents of a group and its engines in lock-step over virtual time.
 *
 * For every step it records which map each rank used, independently of what guards and coordinators believe.
 */
internal class SimulatedGroup(
    val settings: SimulatedGroupSettings,
    private val random: Random,
) {
    private class Agent(
        val incarnation: Incarnation,
        val guard: MapGuard,
        val coordinator: MapChangeCoordinator,
    ) {
        var isAlive = true
        var pausedUntil = MonotonicTime.ZERO
    }

    val queue = EventQueue()
    var observer: GroupObserver = object : GroupObserver {}
    var network = Network { _, _ -> listOf(random.nextLong(200, 2_000).microseconds) }

    /** Delay of commands from an agent to its engine. */
    var commandDelay: (rank: Int) -> Duration = { random.nextLong(50, 300).microseconds }

    /** Extra time of the step under way, for ranks that stall. */
    var stall: () -> Duration = { Duration.ZERO }

    private val agents = arrayOfNulls<Agent>(settings.ranks)
    private val engines = List(settings.ranks) { rank -> newEngine(rank) }
    private val stalledRanks = mutableSetOf<Int>()
    private var isStepRunning = false

    /** Steps in which two ranks used different maps. */
    var tornSteps = 0
        private set

    /** Steps that at least one rank could not begin at once. */
    var stalledSteps = 0
        private set

    var completedSteps = 0L
        private set
    var lastStepMap: MapVersion? = null
        private set
    val outcomes = mutableListOf<MapChangeOutcome>()

    init {
        repeat(settings.ranks) { startAgent(it) }
        agent(0)?.let { act(0, it, it.coordinator.activate(queue.now)) }
    }

    /** Whether all guards are active with the same map and none has promised a step. */
    val hasOneMap: Boolean
        get() {
            val heads = agents.map { it?.guard?.committed?.version }
            val allActive = agents.all { it != null && it.guard.isActive && it.guard.report.pending == null }
            return allActive && heads.first() != null && heads.all { it == heads.first() }
        }

    fun committedOf(rank: Int): CommittedMap? = agents[rank]?.guard?.committed

    fun isCoordinatorIdle(rank: Int): Boolean = agents[rank]?.coordinator?.isIdle == true

    /** Step that the group runs next. */
    val nextStep: Long get() = engines.maxOf { it.nextStep }

    fun propose(
        rank: Int,
        map: ExpertMap,
    ) {
        val agent = agent(rank) ?: return
        act(rank, agent, agent.coordinator.propose(agent.guard.committed?.version, map, queue.now))
    }

    fun activateCoordinator(rank: Int) {
        val agent = agent(rank) ?: return
        act(rank, agent, agent.coordinator.activate(queue.now))
    }

    fun deactivateCoordinator(rank: Int) {
        val agent = agent(rank) ?: return
        act(rank, agent, agent.coordinator.deactivate())
    }

    /** Ends the agent of [rank] and starts an empty one after [restartDelay]. */
    fun restartAgent(
        rank: Int,
        restartDelay: Duration,
    ) {
        val ended = agents[rank] ?: return
        ended.isAlive = false
        agents[rank] = null
        queue.after(restartDelay) {
            startAgent(rank)
            if (rank == 0) activateCoordinator(rank)
        }
    }

    /** Keeps the agent of [rank] from running; what it was about to send leaves when it wakes. */
    fun pauseAgent(
        rank: Int,
        duration: Duration,
    ) {
        agents[rank]?.pausedUntil = queue.now + duration
    }

    /** Clears the engine of [rank], which joins the group again at the step that the others wait for. */
    fun restartEngine(rank: Int) {
        engines[rank].restart(nextStep)
        isStepRunning = false
        stepEpoch += 1
        beginSteps()
    }

    /** Makes the engine of [rank] use [map] in its next steps without the guards' knowledge. */
    fun forceMap(
        rank: Int,
        map: ExpertMap,
    ) {
        val version = MapVersion(ProposalNumber(0, newIncarnation()))
        val loaded = LoadedMap(LoadedMapId(version, newIncarnation()), VersionedMap(version, map))
        val engine = engines[rank]
        engine.receive(LoadMap(Long.MAX_VALUE, loaded))
        queue.after(settings.loadTime(rank, loaded) + settings.stepTime) {
            engine.receive(PermitSteps(Long.MAX_VALUE, engine.nextStep, engine.nextStep + 2, loaded.id))
        }
    }

    private var stepEpoch = 0L

    private fun agent(rank: Int): Agent? = agents[rank]?.takeIf { it.isAlive }

    private fun newIncarnation() = Incarnation.random(random)

    private fun newEngine(rank: Int): SimulatedEngine =
        SimulatedEngine(settings.checksFencing, ::newIncarnation) { map, complete ->
            queue.after(settings.loadTime(rank, map)) {
                complete()
                observer.loaded(rank)
            }
        }

    private fun startAgent(rank: Int) {
        val incarnation = newIncarnation()
        val agent =
            Agent(
                incarnation = incarnation,
                guard = MapGuard(rank, settings.ranks, incarnation, settings.guard),
                coordinator =
                    MapChangeCoordinator(settings.ranks, incarnation, Random(random.nextLong()), settings.change),
            )
        agents[rank] = agent
        tick(rank, agent)
    }

    private fun tick(
        rank: Int,
        agent: Agent,
    ) {
        if (!agent.isAlive) return
        whenAwake(agent) {
            act(rank, agent, agent.guard.tick(queue.now))
            act(rank, agent, agent.coordinator.tick(queue.now))
            queue.after(settings.tickInterval) { tick(rank, agent) }
        }
    }

    /** Runs [block] now, or when the agent wakes; drops it when the agent has ended. */
    private fun whenAwake(
        agent: Agent,
        block: () -> Unit,
    ) {
        if (!agent.isAlive) return
        val pause = agent.pausedUntil - queue.now
        if (pause.isPositive()) queue.after(pause) { whenAwake(agent, block) } else block()
    }

    @JvmName("actOnGuardActions")
    private fun act(
        rank: Int,
        agent: Agent,
        actions: List<MapGuardAction>,
        requester: Int? = null,
    ) {
        actions.forEach { action ->
            when (action) {
                is MapGuardAction.Command -> command(rank, agent, action.command)
                is MapGuardAction.Answer -> requester?.let { send(rank, agent, it, action.answer) }
                is MapGuardAction.Ask -> (action.ranks + 0).distinct().forEach { send(rank, agent, it, action.request) }
                is MapGuardAction.AnswerOutcome -> send(rank, agent, action.rank, action.answer)
                is MapGuardAction.Record -> Unit
            }
        }
        if (agent.guard.isSuperseded && agent.isAlive) restartAgent(rank, RESTART_DELAY)
    }

    @JvmName("actOnChangeActions")
    private fun act(
        rank: Int,
        agent: Agent,
        actions: List<MapChangeAction>,
    ) {
        actions.forEach { action ->
            when (action) {
                is MapChangeAction.Send -> send(rank, agent, action.rank, action.request)
                is MapChangeAction.Ended -> outcomes += action.outcome
                is MapChangeAction.Settled -> if (action.head == null) propose(rank, settings.initialMap)
            }
        }
    }

    private fun send(
        from: Int,
        sender: Agent,
        to: Int,
        message: GroupMessage,
    ) {
        if (!sender.isAlive) return
        observer.sending(from, to, message)
        if (!sender.isAlive) return
        // A pause that begins between the decision and the send delays the message, not the decision.
        val pause = maxOf(sender.pausedUntil - queue.now, Duration.ZERO)
        network.deliveries(from, to).forEach { delay ->
            queue.after(pause + delay) { deliver(from, to, message) }
        }
    }

    private fun deliver(
        from: Int,
        to: Int,
        message: GroupMessage,
    ) {
        val agent = agent(to) ?: return
        whenAwake(agent) {
            observer.delivering(to, message)
            if (agent.isAlive) handle(from, to, agent, message)
        }
    }

    private fun handle(
        from: Int,
        to: Int,
        agent: Agent,
        message: GroupMessage,
    ) {
        val now = queue.now
        when (message) {
            is MapRequest -> {
                act(to, agent, agent.guard.receive(message, now), requester = from)
            }

            is MapAnswer -> {
                act(to, agent, agent.coordinator.receive(message, now))
            }

            is OutcomeRequest -> {
                act(to, agent, agent.guard.receive(message))
                act(to, agent, agent.coordinator.receive(message, now))
            }

            is OutcomeAnswer -> {
                act(to, agent, agent.guard.receive(message, now))
            }
        }
    }

    private fun command(
        rank: Int,
        agent: Agent,
        command: EngineCommand,
    ) {
        if (!agent.isAlive) return
        observer.commanding(rank, command)
        val pause = maxOf(agent.pausedUntil - queue.now, Duration.ZERO)
        val engine = engines[rank]
        val connected = engine.incarnation
        queue.after(pause + commandDelay(rank)) {
            // A restart of the engine resets the connection that carries the command.
            if (engine.incarnation == connected) {
                val report = engine.receive(command)
                beginSteps()
                if (report != null) report(rank, agent, report)
            }
        }
    }

    private fun report(
        rank: Int,
        agent: Agent,
        report: EngineReport,
    ) {
        queue.after(commandDelay(rank)) {
            whenAwake(agent) { act(rank, agent, agent.guard.receive(report, queue.now)) }
        }
    }

    /** Lets each rank begin the step; when the last one has begun, the step runs and ends on all ranks at once. */
    private fun beginSteps() {
        if (isStepRunning) return
        engines.forEachIndexed { rank, engine ->
            engine.tryBegin()
            if (engine.stepMap == null) stalledRanks += rank
        }
        if (engines.any { it.stepMap == null }) return
        isStepRunning = true
        val epoch = ++stepEpoch
        queue.after(settings.stepTime + stall()) { if (epoch == stepEpoch) completeStep() }
    }

    private fun completeStep() {
        val versions = engines.map { checkNotNull(it.stepMap).version }
        if (versions.distinct().size > 1) tornSteps += 1
        if (stalledRanks.isNotEmpty()) stalledSteps += 1
        stalledRanks.clear()
        lastStepMap = versions.first()
        completedSteps += 1
        val step = engines.first().nextStep
        engines.forEach { it.completeStep() }
        isStepRunning = false
        observer.stepCompleted(step)
        beginSteps()
    }

    companion object {
        val RESTART_DELAY = 250.milliseconds
    }
}
