package io.kumquattrail.forward.expert

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.GroupFormation
import io.kumquattrail.decision.expert.replica.MapLeaderCandidate
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
import io.kumquattrail.forward.process.launchBackgroundTask
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
 * Adapts the expert maps of groups to the popularity of their experts.
 *
 * Only one of the gateways does this at a time: the map leader, which [MapLeadership] elects. Each group is handled
 * by its own coroutine, so that a switch of one group does not delay another.
 *
 * @property peers returns the other gateways that are alive and can serve requests.
 */
class ExpertMapManager(
    private val state: GatewayState,
    private val control: RankControl,
    private val peers: () -> List<MapLeaderCandidate>,
    private val random: Random = Random.Default,
) {
    private val planning =
        Executors.newSingleThreadExecutor { Thread(it, "planning").apply { isDaemon = true } }.asCoroutineDispatcher()
    private val switchSettings = MapSwitchSettings()
    private val switchRunner = MapSwitchRunner(control, state.log)
    private val groups = HashMap<GroupKey, GroupView>()

    // Number of ranks that were found in each incomplete group.
    private val incompleteRankCounts = HashMap<GroupKey, Int>()

    // Group that each server reported last, including groups that are still incomplete.
    private val reportedGroups = HashMap<ServerName, GroupName>()
    private val passForecast = PassForecast()
    private val leadership = MapLeadership(state.process)

    // Groups, and services for their survey, that a coroutine is handling. The coroutine may still run when this
    // process is no longer the map leader.
    private val activeKeys = HashSet<GroupKey>()

    /** Maintains the expert maps until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launchBackgroundTask("expert_maps", state.log) {
            while (true) {
                delay(PACE_CHECK_INTERVAL)
                if (updateLeadership()) services().forEach { (service, figures) -> maintain(scope, service, figures) }
            }
        }
    }

    /** Records a [pause] between two events of a stream from [server]. */
    fun recordPause(
        server: ServerName,
        pause: Duration,
        now: MonotonicTime,
    ) {
        groups.values
            .firstOrNull { server in it.members }
            ?.slowdownDetector
            ?.recordPause(pause, now)
    }

    /** Decides anew which role this process has; returns whether it is the map leader. */
    private fun updateLeadership(): Boolean {
        val previousRole = leadership.role
        val role = leadership.decide(state.isReady, peers(), ProcessClock.monotonic())
        state.isMapLeader = role == MapRole.KEEPS
        if (role != previousRole) state.log.log("map_role", "role" to role, "before" to previousRole)
        if (role == MapRole.FOLLOWS) groups.clear()
        if (role == MapRole.KEEPS) state.groups.updateMembers(reportedGroupsByServer())
        return role == MapRole.KEEPS
    }

    private fun reportedGroupsByServer(): Map<ServerName, GroupName> {
        reportedGroups.keys.retainAll(state.catalogue.servers.mapTo(HashSet()) { it.name })
        return reportedGroups
    }

    /** Returns the services whose servers form groups. */
    private fun services(): List<Pair<ServiceName, EngineGroupFigures>> =
        state.configuration
            ?.services
            .orEmpty()
            .values
            .mapNotNull { service -> service.engine?.group?.let { service.name to it } }

    private fun maintain(
        scope: CoroutineScope,
        service: ServiceName,
        figures: EngineGroupFigures,
    ) {
        val serviceGroups = groups.filterKeys { it.service == service }
        val groupedServers = serviceGroups.values.flatMapTo(HashSet()) { it.members }
        val ungroupedServers =
            state.catalogue.servers.filter { it.service == service && it.name !in groupedServers }
        if (ungroupedServers.isNotEmpty()) {
            launchUnlessActive(scope, GroupKey(service, group = null)) {
                survey(service, ungroupedServers, figures)
                delay(SURVEY_INTERVAL)
            }
        }
        serviceGroups.forEach { (key, view) -> launchUnlessActive(scope, key) { maintainGroup(view, figures) } }
    }

    private fun launchUnlessActive(
        scope: CoroutineScope,
        key: GroupKey,
        task: suspend () -> Unit,
    ) {
        if (!activeKeys.add(key)) return
        scope.launch { task() }.invokeOnCompletion { activeKeys.remove(key) }
    }

    private suspend fun maintainGroup(
        view: GroupView,
        figures: EngineGroupFigures,
    ) {
        val now = ProcessClock.monotonic()
        if (view.undecidedAt?.let { now - it < UNDECIDED_RETRY_INTERVAL } == true) return
        val tolerated = toleratedPause(view.service)
        val slowed = view.slowdownDetector.hasSlowed(tolerated = tolerated, now = now)
        // A check that counted too few choices is repeated. The counter keeps its counts, so that they add up.
        val isDue =
            if (view.undecidedAt != null) {
                view.slowdownDetector.hasPauses
            } else {
                now - view.checkedAt >= REGULAR_READ_INTERVAL && view.slowdownDetector.isSlowerThan(tolerated, now)
            }
        // A held or failed group writes nothing, so its state is also read when it is silent with requests in progress.
        val isSilent = !view.slowdownDetector.hasPauses && now - view.checkedAt >= SILENCE_TIMEOUT && hasRequests(view)
        if (!slowed && !isDue && !isSilent) return
        view.checkedAt = now
        val report = control.state(view.ranks.first()) ?: return forget(view)
        if (report.epoch != view.epoch || !report.isOpen) return forget(view)
        if (report.heldPass != null) return takeOverSwitch(view)
        if (isSilent) return
        val hadBaseline = view.counter.hasBaseline
        readChoices(view, figures)
        if (view.undecidedAt == null && (slowed || !hadBaseline)) {
            // The counts so far date from before the shift in popularity, or from all the time since the ranks started.
            view.counter.clearEstimate()
            delay(SAMPLE_TIME)
            readChoices(view, figures)
        }
        val improvement = improveMap(view, figures)
        val checkedUntil = ProcessClock.monotonic()
        view.undecidedAt = checkedUntil.takeIf { improvement == Improvement.UNDECIDED }
        when (improvement) {
            Improvement.CHANGED -> view.slowdownDetector.onMapChanged(checkedUntil)

            Improvement.NOT_NEEDED -> view.slowdownDetector.useCurrentAsReference(checkedUntil)

            // The map may still need a change, so the current pace does not become the reference. The next check adds
            // to these counts.
            Improvement.UNDECIDED -> Unit
        }
    }

    private fun hasRequests(view: GroupView): Boolean = view.ranks.any { it.name in state.loads.ownInProgress }

    private fun forget(view: GroupView) {
        groups.remove(GroupKey(view.service, view.group), view)
    }

    /**
     * Returns the pause between two events of a stream that the callers of [service] accept. A group whose pauses are
     * shorter is left unchanged, as reading counts, copying experts and ordering ranks all slow it down.
     */
    private fun toleratedPause(service: ServiceName): Duration =
        state.configuration
            ?.routes
            .orEmpty()
            .filter { route -> route.targets.any { it.service == service } }
            .mapNotNull { it.toleratedPause }
            .minOrNull() ?: Duration.ZERO

    /** Finds the groups that are formed by [servers], none of which belongs to a known formation. */
    private suspend fun survey(
        service: ServiceName,
        servers: List<BackendServer>,
        figures: EngineGroupFigures,
    ) {
        val states = switchRunner.states(servers)
        // Groups of different services may have the same name.
        states.forEach { reportedGroups[it.server] = GroupName("$service/${it.group}") }
        val formations = GroupFormation.of(states)
        coroutineScope {
            formations.forEach { formation ->
                val key = GroupKey(service, formation.group)
                // A rank in a later formation shows that the known formation no longer exists.
                groups[key]?.takeIf { it.epoch < formation.epoch }?.let(::forget)
                if (formation.isComplete) {
                    incompleteRankCounts.remove(key)
                    launch { addGroup(key, formation, servers, figures) }
                } else if (incompleteRankCounts.put(key, formation.ranks.size) != formation.ranks.size) {
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

    /** Reads which experts the ranks of a complete [formation] hold and starts to maintain its map. */
    private suspend fun addGroup(
        key: GroupKey,
        formation: GroupFormation,
        servers: List<BackendServer>,
        figures: EngineGroupFigures,
    ) {
        val byName = servers.associateBy { it.name }
        val members = formation.ranks.mapNotNull { byName[it.server] }
        val holdings = coroutineScope { members.map { async { control.holdings(it) } }.awaitAll() }.filterNotNull()
        if (holdings.size != formation.ranks.size || holdings.distinctBy { it.mapVersion }.size != 1) return
        if (!holdings.all { it.isPossible(figures) }) {
            state.log.log("rank_holdings_unusable", "service" to key.service, "group" to formation.group)
            return
        }
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
                highestVersion = maxOf(holdings.first().mapVersion, formation.ranks.maxOf { it.highestVersion }),
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
        // The group writes nothing until it is released, so there is no point in waiting until it is silent.
        if (formation.ranks.any { it.heldPass != null }) return takeOverSwitch(view)
        // With this baseline, the first check sees the choices made since then and need not wait for a sample. Setting
        // undecidedAt makes that check due like one that is repeated: once UNDECIDED_RETRY_INTERVAL has passed and the
        // group writes, also if its pace is tolerated; and it keeps the counts instead of starting a new sample.
        readChoices(view, figures)
        view.counter.clearEstimate()
        view.undecidedAt = ProcessClock.monotonic()
        if (isMapLeader()) groups[key] = view
    }

    private suspend fun readChoices(
        view: GroupView,
        figures: EngineGroupFigures,
    ) {
        val reading = control.choices(view.countedRank, figures) ?: return view.countNextRank()
        view.counter.addReading(reading, ProcessClock.monotonic())
    }

    private fun rounded(imbalance: Double): Double = (imbalance * STEPS_PER_UNIT).roundToInt() / STEPS_PER_UNIT

    /** Plans a new map and switches to it if the gain justifies the cost of the switch. */
    private suspend fun improveMap(
        view: GroupView,
        figures: EngineGroupFigures,
    ): Improvement {
        val map = view.map
        val popularity = view.counter.popularity()
        if (popularity == null || view.counter.evidence < MINIMUM_COUNTED_CHOICES) {
            state.log.log("map_undecided", "group" to view.group, "evidence" to view.counter.evidence.toLong())
            return Improvement.UNDECIDED
        }
        val planner = ReplicaPlanner(ReplicaLimits.of(figures))
        val planningStartedAt = ProcessClock.monotonic()
        val planned = withContext(planning) { planner.plan(map, popularity) }
        val imbalanceBefore = map.imbalance(popularity)
        val imbalanceAfter = planned.imbalance(popularity)
        if (imbalanceBefore - imbalanceAfter < MINIMUM_GAIN) {
            state.log.log(
                "map_kept",
                "group" to view.group,
                "imbalance" to rounded(imbalanceBefore),
                "planned" to rounded(imbalanceAfter),
            )
            return Improvement.NOT_NEEDED
        }
        val copies = planned.copiesAfter(map)
        state.log.log(
            "map_planned",
            "service" to view.service,
            "group" to view.group,
            "imbalance" to rounded(imbalanceBefore),
            "planned" to rounded(imbalanceAfter),
            "copies" to copies.sum(),
            "evidence" to view.counter.evidence.toLong(),
            "planning_ms" to (ProcessClock.monotonic() - planningStartedAt).inWholeMilliseconds,
        )
        switchMap(view, planned, copyTime = figures.copyTime * copies.max())
        return Improvement.CHANGED
    }

    private suspend fun switchMap(
        view: GroupView,
        planned: ReplicaMap,
        copyTime: Duration,
    ) {
        val states = switchRunner.states(view.ranks).sortedBy { it.rank }
        if (states.size != view.ranks.size || states.any { it.epoch != view.epoch }) return forget(view)
        view.highestVersion = maxOf(view.highestVersion, states.maxOf { it.highestVersion })
        // The random part makes it unlikely that two processes that start a switch at the same time give the same
        // version to different maps.
        val version = MapSwitch.versionAfter(view.highestVersion, steps = random.nextInt(VERSION_JITTER))
        view.highestVersion = version
        val reportedAt = ProcessClock.monotonic()
        val reportedPass = states.maxOf { it.pass }
        val passTime = view.slowdownDetector.passTime(reportedAt) ?: Duration.ZERO
        val switch = MapSwitch.begin(states, version, planned, view.map, reportedAt, switchSettings)
        switchRunner.run(view, switch, version, copyTime, ::isMapLeader) {
            passForecast.estimatePass(reportedPass, age = ProcessClock.monotonic() - reportedAt, passTime)
        }
        if (switch.phase != MapSwitchPhase.DONE) return forget(view)
        passForecast.recordAcceptedHold(switch.refusedHolds, passTime)
        view.map = planned
    }

    private fun isMapLeader(): Boolean = leadership.role == MapRole.KEEPS

    private suspend fun takeOverSwitch(view: GroupView) {
        // Reports lag behind, so the last orders of the other process show only after this time.
        delay(switchSettings.reportLag)
        val states = switchRunner.states(view.ranks).sortedBy { it.rank }
        if (states.size != view.ranks.size) return forget(view)
        val switch = MapSwitch.takeOver(states, view.map, ProcessClock.monotonic(), switchSettings) ?: return
        state.log.log(
            "map_switch_taken_over",
            "service" to view.service,
            "group" to view.group,
            "phase" to switch.phase,
            "pass" to switch.switchPass,
        )
        switchRunner.run(view, switch, version = 0, copyTime = Duration.ZERO, ::isMapLeader)
        forget(view)
    }

    private enum class Improvement {
        CHANGED,
        NOT_NEEDED,

        /** Too few choices were counted to decide. */
        UNDECIDED,
    }

    /** Identifies a group or, when [group] is `null`, the survey of [service] for groups. */
    private data class GroupKey(
        val service: ServiceName,
        val group: GroupName?,
    )

    private companion object {
        /** Interval between checks of the pace of groups; popularity shifts every few seconds. */
        val PACE_CHECK_INTERVAL = 50.milliseconds

        /**
         * Time since the last check after which the counts of a group that is too slow for its callers are read even
         * without a sign of a shift.
         */
        val REGULAR_READ_INTERVAL = 4.seconds

        /** Silence after which the state of a group with requests is read; several passes of a slow group. */
        val SILENCE_TIMEOUT = 500.milliseconds

        /** Time for which choices are counted after a shift in popularity, about one pass of a slow group. */
        val SAMPLE_TIME = 120.milliseconds

        /** Time until a check that counted too few choices is repeated; a few passes. */
        val UNDECIDED_RETRY_INTERVAL = 250.milliseconds

        /** Interval between attempts to find a complete group; a group needs seconds to form again. */
        val SURVEY_INTERVAL = 300.milliseconds

        /** Minimum number of counted choices; an estimate from fewer, over a few requests, is mostly noise. */
        const val MINIMUM_COUNTED_CHOICES = 200.0

        /**
         * Minimum gain that justifies the copies and orders of a switch: the reduction of the load of the most loaded
         * rank, as a multiple of the mean load.
         */
        const val MINIMUM_GAIN = 0.2

        /** Imbalances are logged in steps of a thousandth. */
        const val STEPS_PER_UNIT = 1_000.0

        /** Number of versions from which that of a switch is drawn, so that two processes rarely draw the same. */
        const val VERSION_JITTER = 1_000
    }
}
