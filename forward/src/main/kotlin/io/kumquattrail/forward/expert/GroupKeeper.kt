package io.kumquattrail.forward.expert

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.ChoiceCounter
import io.kumquattrail.decision.expert.replica.MapKeeperCandidate
import io.kumquattrail.decision.expert.replica.MapLeadership
import io.kumquattrail.decision.expert.replica.MapRole
import io.kumquattrail.decision.expert.replica.MapSwitch
import io.kumquattrail.decision.expert.replica.MapSwitchPhase
import io.kumquattrail.decision.expert.replica.MapSwitchSettings
import io.kumquattrail.decision.expert.replica.PaceWatch
import io.kumquattrail.decision.expert.replica.RankState
import io.kumquattrail.decision.expert.replica.ReplicaLimits
import io.kumquattrail.decision.expert.replica.ReplicaMap
import io.kumquattrail.decision.expert.replica.ReplicaPlanner
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.route.EngineGroupFigures
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the expert maps of groups in line with what is popular.
 *
 * One of all gateways does it, as [MapLeadership] decides.
 *
 * @property peers returns the other gateways that live and can serve requests.
 */
class GroupKeeper(
    private val state: GatewayState,
    private val control: RankControl,
    private val peers: () -> List<MapKeeperCandidate>,
    private val random: Random = Random.Default,
) {
    private val planning =
        Executors.newSingleThreadExecutor { Thread(it, "planning").apply { isDaemon = true } }.asCoroutineDispatcher()
    private val switchSettings = MapSwitchSettings()
    private val groups = HashMap<ServiceName, GroupView>()
    private var fence = 0L
    private val leadership = MapLeadership(state.process)

    /** Keeps maps until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(INTERVAL)
                if (leads()) services().forEach { (service, figures) -> keep(service, figures) }
            }
        }
    }

    /** Takes in a pause between two events of a stream of [service]. */
    fun paused(
        service: ServiceName,
        pause: Duration,
        now: MonotonicTime,
    ) {
        groups[service]?.pace?.observed(pause, now)
    }

    private fun leads(): Boolean {
        val before = leadership.role
        val role = leadership.decide(state.isReady, peers(), ProcessClock.monotonic())
        state.keepsMaps = role == MapRole.KEEPS
        if (role != before) state.log.log("map_role", "role" to role, "before" to before)
        if (role == MapRole.FOLLOWS) groups.clear()
        return role == MapRole.KEEPS
    }

    private fun services(): List<Pair<ServiceName, EngineGroupFigures>> =
        state.configuration
            ?.services
            .orEmpty()
            .values
            .mapNotNull { service -> service.engine?.group?.let { service.name to it } }

    private suspend fun keep(
        service: ServiceName,
        figures: EngineGroupFigures,
    ) {
        val servers = state.catalogue.servers.filter { it.service == service }
        if (servers.isEmpty()) return
        val view = groups.getOrPut(service) { GroupView() }
        if (view.isStale) {
            when (survey(service, view, servers, figures)) {
                Survey.INCOMPLETE -> return delay(SURVEY_PAUSE)

                // The group writes nothing until it is released, so its silence need not be awaited.
                Survey.HELD -> return takeOver(service, view)

                Survey.FREE -> Unit
            }
            // The first look then sees what was chosen since, and need not wait for a sample.
            read(view, figures)
            view.counter.restart()
            view.undecidedAt = ProcessClock.monotonic()
        }
        val now = ProcessClock.monotonic()
        if (view.undecidedAt?.let { now - it < UNDECIDED_PAUSE } == true) return
        val slowed = view.pace.hasSlowed(tolerated = toleratedPause(service), now = now)
        // A look that showed too little is repeated; its counts go on, so that they add up.
        val isDue = (now - view.lookedAt >= LONGEST_INTERVAL || view.undecidedAt != null) && view.pace.isObserved
        // A held or broken group writes nothing, so silence with work in progress is worth a look, too.
        val isSilent = !view.pace.isObserved && now - view.lookedAt >= SILENT_INTERVAL && hasWork(servers)
        if (!slowed && !isDue && !isSilent) return
        view.lookedAt = now
        val report = control.state(view.ranks.first()) ?: return view.forget()
        if (report.epoch != view.epoch || !report.isOpen) return view.forget()
        if (report.heldPass != null) return takeOver(service, view)
        if (isSilent) return
        val hadBaseline = view.counter.hasBaseline
        read(view, figures)
        if (view.undecidedAt == null && (slowed || !hadBaseline)) {
            // The counts until now belong to the time before the shift, or to all the time since the ranks started.
            view.counter.restart()
            delay(SAMPLE_TIME)
            read(view, figures)
        }
        val improvement = improve(service, view, figures)
        val lookedUntil = ProcessClock.monotonic()
        view.undecidedAt = lookedUntil.takeIf { improvement == Improvement.UNDECIDED }
        when (improvement) {
            Improvement.CHANGED -> view.pace.changed(lookedUntil)

            Improvement.NOT_NEEDED -> view.pace.foundInOrder(lookedUntil)

            // What the group does now says nothing of its usual pace. The next reading adds to this one.
            Improvement.UNDECIDED -> Unit
        }
    }

    private fun hasWork(servers: List<BackendServer>): Boolean = servers.any { it.name in state.loads.ownInProgress }

    /** A group that is well ahead of what its callers need is left alone, as counts, copies and orders have a price. */
    private fun toleratedPause(service: ServiceName): Duration =
        state.configuration
            ?.routes
            .orEmpty()
            .filter { route -> route.targets.any { it.service == service } }
            .mapNotNull { it.toleratedPause }
            .minOrNull() ?: Duration.ZERO

    /** Reads which server has which rank and which experts it holds. */
    private suspend fun survey(
        service: ServiceName,
        view: GroupView,
        servers: List<BackendServer>,
        figures: EngineGroupFigures,
    ): Survey {
        val states = states(servers)
        // Servers that have left still report the formation in which they were.
        val newest = states.maxOfOrNull { it.epoch }
        val open = states.filter { it.isOpen && it.epoch == newest }
        val size = open.firstOrNull()?.size ?: return Survey.INCOMPLETE
        val ordered = open.sortedBy { it.rank }
        if (ordered.map { it.rank } != (0 until size).toList()) {
            state.log.log("group_incomplete", "service" to service, "ranks" to open.size, "size" to size)
            return Survey.INCOMPLETE
        }
        val byName = servers.associateBy { it.name }
        val members = ordered.mapNotNull { byName[it.server] }
        val holdings = coroutineScope { members.map { async { control.holdings(it) } }.awaitAll() }.filterNotNull()
        if (holdings.size != size || holdings.distinctBy { it.mapVersion }.size != 1) return Survey.INCOMPLETE
        view.ranks = members
        view.epoch = ordered.first().epoch
        view.map =
            ReplicaMap(
                (0 until figures.layerSets)
                    .map { set -> holdings.map { it.experts[set].toImmutableSet() }.toImmutableList() }
                    .toImmutableList(),
            )
        view.highestVersion = maxOf(holdings.first().mapVersion, ordered.maxOf { it.preparedVersion ?: 0 })
        state.log.log(
            "group_surveyed",
            "service" to service,
            "ranks" to size,
            "epoch" to view.epoch,
            "map" to holdings.first().mapVersion,
            "pass" to ordered.first().pass,
        )
        return if (ordered.any { it.heldPass != null }) Survey.HELD else Survey.FREE
    }

    private suspend fun states(servers: List<BackendServer>): List<RankState> =
        coroutineScope { servers.map { async { control.state(it) } }.awaitAll() }.filterNotNull()

    private suspend fun read(
        view: GroupView,
        figures: EngineGroupFigures,
    ) {
        val step = maxOf(1, view.ranks.size / SAMPLED_RANKS)
        val sampled = view.ranks.filterIndexed { index, _ -> index % step == 0 }
        val readings = coroutineScope { sampled.map { async { control.choices(it, figures) } }.awaitAll() }
        val now = ProcessClock.monotonic()
        readings.filterNotNull().forEach { view.counter.read(it, now) }
    }

    private fun rounded(imbalance: Double): Double = (imbalance * ROUNDING).roundToInt() / ROUNDING

    /** Plans and makes a change that is worth it. */
    private suspend fun improve(
        service: ServiceName,
        view: GroupView,
        figures: EngineGroupFigures,
    ): Improvement {
        val map = view.map ?: return Improvement.UNDECIDED
        val popularity = view.counter.popularity()
        if (popularity == null || view.counter.evidence < LEAST_EVIDENCE) {
            state.log.log("map_undecided", "service" to service, "evidence" to view.counter.evidence.toLong())
            return Improvement.UNDECIDED
        }
        val planner =
            ReplicaPlanner(ReplicaLimits(figures.placementsPerRank, newPerSet = figures.sparePlacements))
        val began = ProcessClock.monotonic()
        val planned = withContext(planning) { planner.plan(map, popularity) }
        val before = map.imbalance(popularity)
        val after = planned.imbalance(popularity)
        if (before - after < LEAST_GAIN) {
            state.log.log("map_kept", "service" to service, "imbalance" to rounded(before), "planned" to rounded(after))
            return Improvement.NOT_NEEDED
        }
        val copies = planned.copiesAfter(map)
        state.log.log(
            "map_planned",
            "service" to service,
            "imbalance" to rounded(before),
            "planned" to rounded(after),
            "copies" to copies.sum(),
            "evidence" to view.counter.evidence.toLong(),
            "planning_ms" to (ProcessClock.monotonic() - began).inWholeMilliseconds,
        )
        change(service, view, planned, copyTime = figures.copyTime * copies.max())
        return Improvement.CHANGED
    }

    private suspend fun change(
        service: ServiceName,
        view: GroupView,
        planned: ReplicaMap,
        copyTime: Duration,
    ) {
        val states = states(view.ranks).sortedBy { it.rank }
        if (states.size != view.ranks.size || states.any { it.epoch != view.epoch }) return view.forget()
        view.highestVersion = maxOf(view.highestVersion, states.maxOf { maxOf(it.mapVersion, it.preparedVersion ?: 0) })
        // Two processes that begin at once must not give two maps one version.
        val version = view.highestVersion + 1 + random.nextInt(VERSION_SPREAD)
        view.highestVersion = version
        val switch = MapSwitch.begin(states, version, planned, ProcessClock.monotonic(), switchSettings)
        run(service, view, switch, version, copyTime)
        if (switch.phase == MapSwitchPhase.DONE) view.map = planned else view.forget()
    }

    private suspend fun takeOver(
        service: ServiceName,
        view: GroupView,
    ) {
        // Reports lag; what the other process ordered last shows after this time.
        delay(switchSettings.reportLag)
        val states = states(view.ranks).sortedBy { it.rank }
        if (states.size != view.ranks.size) return view.forget()
        val switch = MapSwitch.takeOver(states, ProcessClock.monotonic(), switchSettings) ?: return
        state.log.log(
            "map_switch_taken_over",
            "service" to service,
            "phase" to switch.phase,
            "pass" to switch.switchPass,
        )
        run(service, view, switch, version = 0, copyTime = Duration.ZERO)
        view.forget()
    }

    private suspend fun run(
        service: ServiceName,
        view: GroupView,
        switch: MapSwitch,
        version: Long,
        copyTime: Duration,
    ) {
        val began = ProcessClock.monotonic()
        fence = maxOf(fence + FENCES_PER_SWITCH, ProcessClock.wall().milliseconds)
        var phase = switch.phase
        var armed: Duration? = null
        var waitedForCopies = false
        coroutineScope {
            while (!switch.isOver && ProcessClock.monotonic() - began < LONGEST_SWITCH) {
                switch.due(ProcessClock.monotonic()).forEach { due ->
                    launch {
                        val server = view.ranks[due.rank]
                        val number = if (due.takesBack) fence + 1 else fence
                        val answer = control.order(server, due.order, view.epoch, number)
                        switch.answered(due.rank, due.order, answer, ProcessClock.monotonic())
                    }
                }
                if (switch.phase != phase) {
                    phase = switch.phase
                    if (phase == MapSwitchPhase.HOLDING) armed = ProcessClock.monotonic() - began
                }
                delay(STEP_POLL)
                if (switch.awaitsReport) {
                    switch.reported(states(view.ranks), ProcessClock.monotonic())
                    delay(REPORT_POLL)
                }
                if (switch.awaitsCopies) {
                    delay(if (waitedForCopies) COPY_POLL else copyTime * COPY_TIME_MARGIN)
                    waitedForCopies = true
                    findCopied(view, switch, version)
                }
            }
        }
        state.log.log(
            "map_switched",
            "service" to service,
            "version" to version,
            "outcome" to switch.phase,
            "epoch" to view.epoch,
            "fence" to fence,
            "pass" to switch.switchPass,
            "prepared_ms" to armed?.inWholeMilliseconds,
            "total_ms" to (ProcessClock.monotonic() - began).inWholeMilliseconds,
        )
    }

    private suspend fun findCopied(
        view: GroupView,
        switch: MapSwitch,
        version: Long,
    ) = coroutineScope {
        switch.copying.forEach { rank ->
            launch {
                if (control.holdings(view.ranks[rank])?.preparedVersion == version) switch.copied(rank)
            }
        }
    }

    private enum class Survey {
        /** Not all ranks of one formation have answered. */
        INCOMPLETE,

        /** A rank keeps the group from going on. */
        HELD,
        FREE,
    }

    private enum class Improvement {
        CHANGED,
        NOT_NEEDED,

        /** Too little was counted. */
        UNDECIDED,
    }

    private class GroupView {
        var ranks: List<BackendServer> = emptyList()
        var epoch = 0L
        var map: ReplicaMap? = null
        var highestVersion = 0L

        var lookedAt = MonotonicTime(Long.MIN_VALUE / 2)

        /** Time of the last look if it showed too little to decide. */
        var undecidedAt: MonotonicTime? = null
        val counter = ChoiceCounter()
        val pace = PaceWatch()

        val isStale: Boolean get() = map == null

        fun forget() {
            map = null
            undecidedAt = null
            counter.reset()
        }
    }

    private companion object {
        /** Time between looks at the pace of groups; popularity shifts every few seconds. */
        val INTERVAL = 50.milliseconds

        /** Time after which counts are read without any sign of a shift. */
        val LONGEST_INTERVAL = 4.seconds

        /** Silence of a group with work after which its state is read; several passes of a slow group. */
        val SILENT_INTERVAL = 500.milliseconds

        /** Time over which choices are counted after a shift, about a pass of the slow group. */
        val SAMPLE_TIME = 120.milliseconds

        /** Time after a look that showed too little; a few passes. */
        val UNDECIDED_PAUSE = 250.milliseconds

        /** Ranks whose counts are read in a round. Counts read from another VM pause the group for a moment. */
        const val SAMPLED_RANKS = 4

        /** Time between attempts to find a complete group; one forms anew in seconds. */
        val SURVEY_PAUSE = 300.milliseconds

        /** Choices without which an estimate is mostly noise, over a few requests. */
        const val LEAST_EVIDENCE = 200.0

        /** Least gain in the load of the most loaded rank, in means, that is worth the copies and orders. */
        const val LEAST_GAIN = 0.2

        /** Fencing numbers of one switch: one to order it and one to take it back. */
        const val FENCES_PER_SWITCH = 2

        /** Imbalances are logged to a thousandth. */
        const val ROUNDING = 1_000.0

        /** Versions of one change are drawn from so many, so that two processes hardly ever draw the same. */
        const val VERSION_SPREAD = 1_000

        /** Interval between looks at the copying ranks, about the time of one more copy. */
        val COPY_POLL = 60.milliseconds

        /** Copies take a little longer than the link alone needs. */
        const val COPY_TIME_MARGIN = 1.05

        /** Interval between reports while the answer to an order is in doubt. */
        val REPORT_POLL = 60.milliseconds

        /** Interval between steps of a switch; a held group waits for it. */
        val STEP_POLL = 3.milliseconds

        /** A switch that takes longer has lost its ranks; the next look finds what it left. */
        val LONGEST_SWITCH = 15.seconds
    }
}
