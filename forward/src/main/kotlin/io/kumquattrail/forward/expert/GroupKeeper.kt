package io.kumquattrail.forward.expert

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.GroupFormation
import io.kumquattrail.decision.expert.replica.MapKeeperCandidate
import io.kumquattrail.decision.expert.replica.MapLeadership
import io.kumquattrail.decision.expert.replica.MapRole
import io.kumquattrail.decision.expert.replica.MapSwitch
import io.kumquattrail.decision.expert.replica.MapSwitchPhase
import io.kumquattrail.decision.expert.replica.MapSwitchSettings
import io.kumquattrail.decision.expert.replica.PassForecast
import io.kumquattrail.decision.expert.replica.ReplicaLimits
import io.kumquattrail.decision.expert.replica.ReplicaMap
import io.kumquattrail.decision.expert.replica.ReplicaPlanner
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName
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
 * One of all gateways does it, as [MapLeadership] decides. Each group is worked on by itself, so that a switch of one
 * does not delay another.
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
    private val switches = MapSwitchRunner(control, state.log)
    private val groups = HashMap<GroupKey, GroupView>()
    private val incomplete = HashMap<GroupKey, Int>()

    // Group that each server has reported last, also while the group is not complete.
    private val reported = HashMap<ServerName, GroupName>()
    private val passForecast = PassForecast()
    private val leadership = MapLeadership(state.process)

    // Groups, and services under their survey, on which a coroutine works. It may outlast the role of the process.
    private val inWork = HashSet<GroupKey>()

    /** Keeps maps until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(INTERVAL)
                if (leads()) services().forEach { (service, figures) -> keepService(scope, service, figures) }
            }
        }
    }

    /** Takes in a pause between two events of a stream that [server] writes. */
    fun paused(
        server: ServerName,
        pause: Duration,
        now: MonotonicTime,
    ) {
        groups.values
            .firstOrNull { server in it.members }
            ?.pace
            ?.observed(pause, now)
    }

    private fun leads(): Boolean {
        val before = leadership.role
        val role = leadership.decide(state.isReady, peers(), ProcessClock.monotonic())
        state.keepsMaps = role == MapRole.KEEPS
        if (role != before) state.log.log("map_role", "role" to role, "before" to before)
        if (role == MapRole.FOLLOWS) groups.clear()
        if (role == MapRole.KEEPS) state.groups.formed(knownMembers())
        return role == MapRole.KEEPS
    }

    private fun knownMembers(): Map<ServerName, GroupName> {
        reported.keys.retainAll(state.catalogue.servers.mapTo(HashSet()) { it.name })
        return reported
    }

    private fun services(): List<Pair<ServiceName, EngineGroupFigures>> =
        state.configuration
            ?.services
            .orEmpty()
            .values
            .mapNotNull { service -> service.engine?.group?.let { service.name to it } }

    private fun keepService(
        scope: CoroutineScope,
        service: ServiceName,
        figures: EngineGroupFigures,
    ) {
        val ofService = groups.filterKeys { it.service == service }
        val known = ofService.values.flatMapTo(HashSet()) { it.members }
        val unknown = state.catalogue.servers.filter { it.service == service && it.name !in known }
        if (unknown.isNotEmpty()) {
            work(scope, GroupKey(service, group = null)) {
                survey(service, unknown, figures)
                delay(SURVEY_PAUSE)
            }
        }
        ofService.forEach { (key, view) -> work(scope, key) { keep(view, figures) } }
    }

    private fun work(
        scope: CoroutineScope,
        key: GroupKey,
        task: suspend () -> Unit,
    ) {
        if (!inWork.add(key)) return
        scope.launch { task() }.invokeOnCompletion { inWork.remove(key) }
    }

    private suspend fun keep(
        view: GroupView,
        figures: EngineGroupFigures,
    ) {
        val now = ProcessClock.monotonic()
        if (view.undecidedAt?.let { now - it < UNDECIDED_PAUSE } == true) return
        val tolerated = toleratedPause(view.service)
        val slowed = view.pace.hasSlowed(tolerated = tolerated, now = now)
        // A look that showed too little is repeated; its counts go on, so that they add up.
        val isDue =
            if (view.undecidedAt != null) {
                view.pace.isObserved
            } else {
                now - view.lookedAt >= LONGEST_INTERVAL && view.pace.exceeds(tolerated, now)
            }
        // A held or broken group writes nothing, so silence with work in progress is worth a look, too.
        val isSilent = !view.pace.isObserved && now - view.lookedAt >= SILENT_INTERVAL && hasWork(view)
        if (!slowed && !isDue && !isSilent) return
        view.lookedAt = now
        val report = control.state(view.ranks.first()) ?: return forget(view)
        if (report.epoch != view.epoch || !report.isOpen) return forget(view)
        if (report.heldPass != null) return takeOver(view)
        if (isSilent) return
        val hadBaseline = view.counter.hasBaseline
        read(view, figures)
        if (view.undecidedAt == null && (slowed || !hadBaseline)) {
            // The counts until now belong to the time before the shift, or to all the time since the ranks started.
            view.counter.restart()
            delay(SAMPLE_TIME)
            read(view, figures)
        }
        val improvement = improve(view, figures)
        val lookedUntil = ProcessClock.monotonic()
        view.undecidedAt = lookedUntil.takeIf { improvement == Improvement.UNDECIDED }
        when (improvement) {
            Improvement.CHANGED -> view.pace.changed(lookedUntil)

            Improvement.NOT_NEEDED -> view.pace.foundInOrder(lookedUntil)

            // What the group does now says nothing of its usual pace. The next reading adds to this one.
            Improvement.UNDECIDED -> Unit
        }
    }

    private fun hasWork(view: GroupView): Boolean = view.ranks.any { it.name in state.loads.ownInProgress }

    private fun forget(view: GroupView) {
        groups.remove(GroupKey(view.service, view.group), view)
    }

    /** A group that is well ahead of what its callers need is left alone, as counts, copies and orders have a price. */
    private fun toleratedPause(service: ServiceName): Duration =
        state.configuration
            ?.routes
            .orEmpty()
            .filter { route -> route.targets.any { it.service == service } }
            .mapNotNull { it.toleratedPause }
            .minOrNull() ?: Duration.ZERO

    /** Finds the groups that [servers] form, which belong to no known formation. */
    private suspend fun survey(
        service: ServiceName,
        servers: List<BackendServer>,
        figures: EngineGroupFigures,
    ) {
        val states = switches.states(servers)
        // Groups of two services may have one name.
        states.forEach { reported[it.server] = GroupName("$service/${it.group}") }
        val formations = GroupFormation.of(states)
        coroutineScope {
            formations.forEach { formation ->
                val key = GroupKey(service, formation.group)
                // A rank that has joined a later formation shows that the known one has ended.
                groups[key]?.takeIf { it.epoch < formation.epoch }?.let(::forget)
                if (formation.isComplete) {
                    incomplete.remove(key)
                    launch { meet(key, formation, servers, figures) }
                } else if (incomplete.put(key, formation.ranks.size) != formation.ranks.size) {
                    state.log.log(
                        "group_incomplete",
                        "service" to service,
                        "group" to formation.group,
                        "epoch" to formation.epoch,
                        "ranks" to formation.ranks.size,
                        "size" to formation.ranks.firstOrNull()?.size,
                    )
                }
            }
        }
    }

    /** Reads which experts the ranks of a complete [formation] hold and begins to keep its map. */
    private suspend fun meet(
        key: GroupKey,
        formation: GroupFormation,
        servers: List<BackendServer>,
        figures: EngineGroupFigures,
    ) {
        val byName = servers.associateBy { it.name }
        val members = formation.ranks.mapNotNull { byName[it.server] }
        val holdings = coroutineScope { members.map { async { control.holdings(it) } }.awaitAll() }.filterNotNull()
        if (holdings.size != formation.ranks.size || holdings.distinctBy { it.mapVersion }.size != 1) return
        val map =
            ReplicaMap(
                (0 until figures.layerSets)
                    .map { set -> holdings.map { it.experts[set].toImmutableSet() }.toImmutableList() }
                    .toImmutableList(),
            )
        val view =
            GroupView(
                service = key.service,
                group = formation.group,
                epoch = formation.epoch,
                ranks = members,
                map = map,
                highestVersion = maxOf(holdings.first().mapVersion, formation.ranks.maxOf { it.preparedVersion ?: 0 }),
            )
        state.log.log(
            "group_surveyed",
            "service" to key.service,
            "group" to formation.group,
            "ranks" to members.size,
            "epoch" to view.epoch,
            "map" to holdings.first().mapVersion,
            "pass" to formation.ranks.first().pass,
        )
        // The group writes nothing until it is released, so its silence need not be awaited.
        if (formation.ranks.any { it.heldPass != null }) return takeOver(view)
        // The first look then sees what was chosen since, and need not wait for a sample.
        read(view, figures)
        view.counter.restart()
        view.undecidedAt = ProcessClock.monotonic()
        if (leadership.role == MapRole.KEEPS) groups[key] = view
    }

    private suspend fun read(
        view: GroupView,
        figures: EngineGroupFigures,
    ) {
        val reading = control.choices(view.countedRank, figures) ?: return view.countAnotherRank()
        view.counter.read(reading, ProcessClock.monotonic())
    }

    private fun rounded(imbalance: Double): Double = (imbalance * ROUNDING).roundToInt() / ROUNDING

    /** Plans and makes a change that is worth it. */
    private suspend fun improve(
        view: GroupView,
        figures: EngineGroupFigures,
    ): Improvement {
        val map = view.map
        val popularity = view.counter.popularity()
        if (popularity == null || view.counter.evidence < LEAST_EVIDENCE) {
            state.log.log("map_undecided", "group" to view.group, "evidence" to view.counter.evidence.toLong())
            return Improvement.UNDECIDED
        }
        val planner = ReplicaPlanner(ReplicaLimits.of(figures))
        val began = ProcessClock.monotonic()
        val planned = withContext(planning) { planner.plan(map, popularity) }
        val before = map.imbalance(popularity)
        val after = planned.imbalance(popularity)
        if (before - after < LEAST_GAIN) {
            state.log.log(
                "map_kept",
                "group" to view.group,
                "imbalance" to rounded(before),
                "planned" to rounded(after),
            )
            return Improvement.NOT_NEEDED
        }
        val copies = planned.copiesAfter(map)
        state.log.log(
            "map_planned",
            "service" to view.service,
            "group" to view.group,
            "imbalance" to rounded(before),
            "planned" to rounded(after),
            "copies" to copies.sum(),
            "evidence" to view.counter.evidence.toLong(),
            "planning_ms" to (ProcessClock.monotonic() - began).inWholeMilliseconds,
        )
        change(view, planned, copyTime = figures.copyTime * copies.max())
        return Improvement.CHANGED
    }

    private suspend fun change(
        view: GroupView,
        planned: ReplicaMap,
        copyTime: Duration,
    ) {
        val states = switches.states(view.ranks).sortedBy { it.rank }
        if (states.size != view.ranks.size || states.any { it.epoch != view.epoch }) return forget(view)
        view.highestVersion = maxOf(view.highestVersion, states.maxOf { maxOf(it.mapVersion, it.preparedVersion ?: 0) })
        // Two processes that begin at once must not give two maps one version.
        val version = view.highestVersion + 1 + random.nextInt(VERSION_SPREAD)
        view.highestVersion = version
        val reportedAt = ProcessClock.monotonic()
        val reported = states.maxOf { it.pass }
        val passTime = view.pace.passTime(reportedAt) ?: Duration.ZERO
        val switch = MapSwitch.begin(states, version, planned, reportedAt, switchSettings)
        switches.run(view, switch, version, copyTime) {
            passForecast.reached(reported, age = ProcessClock.monotonic() - reportedAt, passTime)
        }
        if (switch.phase != MapSwitchPhase.DONE) return forget(view)
        passForecast.holdAccepted(switch.refusedHolds, passTime)
        view.map = planned
    }

    private suspend fun takeOver(view: GroupView) {
        // Reports lag; what the other process ordered last shows after this time.
        delay(switchSettings.reportLag)
        val states = switches.states(view.ranks).sortedBy { it.rank }
        if (states.size != view.ranks.size) return forget(view)
        val switch = MapSwitch.takeOver(states, ProcessClock.monotonic(), switchSettings) ?: return
        state.log.log(
            "map_switch_taken_over",
            "service" to view.service,
            "group" to view.group,
            "phase" to switch.phase,
            "pass" to switch.switchPass,
        )
        switches.run(view, switch, version = 0, copyTime = Duration.ZERO)
        forget(view)
    }

    private enum class Improvement {
        CHANGED,
        NOT_NEEDED,

        /** Too little was counted. */
        UNDECIDED,
    }

    /** Names a group; without [group], the survey of all groups of [service]. */
    private data class GroupKey(
        val service: ServiceName,
        val group: GroupName?,
    )

    private companion object {
        /** Time between looks at the pace of groups; popularity shifts every few seconds. */
        val INTERVAL = 50.milliseconds

        /** Time after which counts are read without any sign of a shift, in a group that does not satisfy its callers. */
        val LONGEST_INTERVAL = 4.seconds

        /** Silence of a group with work after which its state is read; several passes of a slow group. */
        val SILENT_INTERVAL = 500.milliseconds

        /** Time over which choices are counted after a shift, about a pass of the slow group. */
        val SAMPLE_TIME = 120.milliseconds

        /** Time after a look that showed too little; a few passes. */
        val UNDECIDED_PAUSE = 250.milliseconds

        /** Time between attempts to find a complete group; one forms anew in seconds. */
        val SURVEY_PAUSE = 300.milliseconds

        /** Choices without which an estimate is mostly noise, over a few requests. */
        const val LEAST_EVIDENCE = 200.0

        /** Least gain in the load of the most loaded rank, in means, that is worth the copies and orders. */
        const val LEAST_GAIN = 0.2

        /** Imbalances are logged to a thousandth. */
        const val ROUNDING = 1_000.0

        /** Versions of one change are drawn from so many, so that two processes hardly ever draw the same. */
        const val VERSION_SPREAD = 1_000
    }
}
