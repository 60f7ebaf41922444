package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime

/**
 * Permits steps to the engine of one rank, so that all ranks of the group run each step with the same map.
 *
 * Every range of steps that a guard ever permits states which map the group uses in these steps, and that never changes
 * afterwards. A permission that reaches the engine late is therefore either still true or has no effect:
 * - A permission with the committed map reaches at most [MapGuardSettings.permitWindowSteps] steps beyond the step that
 *   the engine had reported. A new guard promises only later steps, whatever its predecessor has permitted.
 * - A permission with a newer map names a loaded map. A new guard unloads each map that no step is permitted with before
 *   it answers any request, so an engine that ignores fencing numbers has no map to apply the late permission to.
 *
 * A guard that starts has lost its promises. It permits nothing until a coordinator whose proposal number is higher than
 * all others has asked every rank and told it the group's map.
 *
 * Assumes that at most one live agent commands an engine. Where that is violated, engines that check fencing numbers are
 * safe; for other engines the guard stops as soon as it sees a permission that neither it nor its predecessor gave.
 */
class MapGuard(
    private val rank: Int,
    private val ranks: Int,
    private val incarnation: Incarnation,
    private val settings: MapGuardSettings = MapGuardSettings(),
) {
    private enum class Phase { READING, UNLOADING, RECOVERING, ACTIVE, SUPERSEDED }

    private data class PendingChange(
        val proposal: ProposalNumber,
        val map: VersionedMap,
        val step: Long? = null,
        val before: VersionedMap? = null,
    )

    private var phase = Phase.READING
    private var promised: ProposalNumber? = null
    private var abortedThrough: ProposalNumber? = null

    /** Proposal whose map this rank has released; preparing it again could race with the release. */
    private var releasedThrough: ProposalNumber? = null
    private var head: CommittedMap? = null
    private var previous: CommittedMap? = null
    private var pending: PendingChange? = null
    private var engine: EngineReport? = null
    private var fence = 0L
    private var readNumber = 0L
    private var lastRead: MonotonicTime? = null
    private var lastAsked: MonotonicTime? = null
    private var nextAsked = 0

    /** Last step that this guard or its predecessor may have permitted. */
    private var permittedThrough = Long.MIN_VALUE
    private val contents = mutableMapOf<MapVersion, VersionedMap>()
    private val loadRequested = mutableMapOf<LoadedMapId, MonotonicTime>()

    /** Whether the guard knows the group's map and permits steps. */
    val isActive: Boolean get() = phase == Phase.ACTIVE

    /** Whether another agent has taken over the engine, so that this one must exit. */
    val isSuperseded: Boolean get() = phase == Phase.SUPERSEDED

    /** Last committed map that this rank knows of. */
    val committed: CommittedMap? get() = head

    /** Content of [committed]. */
    val committedContent: VersionedMap? get() = head?.let { contents[it.version] }

    /** Step at which the engine waits, or will wait, for the outcome of a change; `null` when none is scheduled. */
    val scheduledStep: Long? get() = pending?.step

    /** Describes the rank's state for answers, metrics and health. */
    val report: GuardReport
        get() =
            GuardReport(
                promised = promised,
                head = head,
                previous = previous,
                pending = pending?.map?.version,
                pendingLoaded = pending?.let { isLoaded(it.map.version) } == true,
                pendingStep = pending?.step,
                nextStep = engine?.nextStep ?: 0,
                firstFreeStep = permittedThrough + 1,
                recovering = phase != Phase.ACTIVE,
            )

    /** Reads the engine's state at intervals and asks for the outcome of a change that the engine waits for. */
    fun tick(now: MonotonicTime): List<MapGuardAction> =
        buildList {
            if (phase == Phase.SUPERSEDED) return@buildList
            val sinceRead = lastRead?.let { now - it }
            if (sinceRead == null || sinceRead >= settings.readInterval) add(read(now))
            if (waitsForOutcome() && lastAsked.let { it == null || now - it >= settings.askInterval }) {
                add(ask(now))
            }
        }

    /** Takes a report of the engine. */
    fun receive(
        report: EngineReport,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        val last = engine
        if (phase == Phase.SUPERSEDED || report.number > readNumber) return emptyList()
        if (last != null && report.number <= last.number) return emptyList()
        if (last != null && last.incarnation == report.incarnation &&
            report.nextStep < last.nextStep
        ) {
            return emptyList()
        }
        return when (phase) {
            Phase.READING -> begin(report, now)
            Phase.UNLOADING -> adopt(report, now)
            Phase.RECOVERING, Phase.ACTIVE -> follow(report, now)
            Phase.SUPERSEDED -> emptyList()
        }
    }

    /** Handles a coordinator's request and answers it. */
    fun receive(
        request: MapRequest,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        if (phase == Phase.SUPERSEDED) return emptyList()
        val actions = mutableListOf<MapGuardAction>()
        val refusal =
            when {
                phase == Phase.READING || phase == Phase.UNLOADING -> MapRefusal.STARTING
                request is AddressedRequest && request.recipient != incarnation -> MapRefusal.OTHER_INCARNATION
                else -> handle(request, now, actions)
            }
        val wanted = (request as? Query)?.wantedMap?.takeIf { refusal == null }
        val answer =
            MapAnswer(
                rank = rank,
                incarnation = incarnation,
                proposal = request.proposal,
                kind = request.kind,
                refusal = refusal,
                report = report,
                map = wanted?.let { contents[it] },
            )
        return actions + MapGuardAction.Answer(answer)
    }

    /** Tells another rank what this one knows about the outcome of changes. */
    fun receive(request: OutcomeRequest): List<MapGuardAction> =
        when (phase) {
            Phase.READING, Phase.UNLOADING, Phase.SUPERSEDED -> {
                emptyList()
            }

            Phase.RECOVERING, Phase.ACTIVE -> {
                val answer = OutcomeAnswer(rank, head, abortedThrough)
                listOf(MapGuardAction.AnswerOutcome(request.rank, answer))
            }
        }

    /** Learns the outcome of the pending change from another rank. */
    fun receive(
        answer: OutcomeAnswer,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        val change = pending
        val step = change?.step
        if (phase != Phase.ACTIVE || change == null || step == null) return emptyList()
        val aborted = answer.abortedThrough
        return buildList {
            if (answer.head == CommittedMap(change.map.version, step)) {
                // A rank that promised a higher number must not commit on hearsay: the new coordinator may already have
                // counted it as undecided, and the answering rank may have lost its state since.
                if (promised == change.proposal) commit(answer.head, null, now, this)
            } else if (aborted != null && change.proposal <= aborted) {
                abort(aborted, now, this)
            }
        }
    }

    private fun handle(
        request: MapRequest,
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ): MapRefusal? =
        when (request) {
            is Query -> handle(request)
            is Prepare -> handle(request, now, actions)
            is Schedule -> handle(request, actions)
            is Commit -> handle(request, now, actions)
            is Abort -> handle(request, now, actions)
        }

    private fun handle(query: Query): MapRefusal? {
        val current = promised
        if (current != null && query.proposal < current) return MapRefusal.PROMISED_HIGHER
        promised = query.proposal
        return null
    }

    private fun handle(
        prepare: Prepare,
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ): MapRefusal? {
        val version = prepare.map.version
        val change = pending
        val current = head
        return when {
            prepare.proposal != promised -> {
                promiseRefusal(prepare.proposal)
            }

            isAborted(prepare.proposal) -> {
                MapRefusal.ABORTED
            }

            version == current?.version || version == change?.map?.version -> {
                null
            }

            // A pending map that this rank has not promised a step for cannot be committed without it.
            change != null && (change.step != null || change.proposal >= prepare.proposal) -> {
                MapRefusal.NOT_PREPARED
            }

            // Two changes at once would need three maps in memory, and a rank that restarts could lag by two changes.
            phase == Phase.ACTIVE && current != null && needsPrevious(current) -> {
                MapRefusal.PREVIOUS_CHANGE_UNFINISHED
            }

            else -> {
                contents[version] = prepare.map
                pending = PendingChange(prepare.proposal, prepare.map, before = prepare.previous)
                load(version, now, actions)
                null
            }
        }
    }

    private fun handle(
        schedule: Schedule,
        actions: MutableList<MapGuardAction>,
    ): MapRefusal? {
        val change = pending
        return when {
            schedule.proposal != promised -> {
                promiseRefusal(schedule.proposal)
            }

            isAborted(schedule.proposal) -> {
                MapRefusal.ABORTED
            }

            phase != Phase.ACTIVE -> {
                MapRefusal.RECOVERING
            }

            change == null || change.map.version != schedule.version || !isLoaded(schedule.version) -> {
                MapRefusal.NOT_PREPARED
            }

            change.step == schedule.step -> {
                null
            }

            change.step != null -> {
                MapRefusal.NOT_PREPARED
            }

            schedule.step <= permittedThrough -> {
                MapRefusal.STEP_TOO_EARLY
            }

            else -> {
                pending = change.copy(step = schedule.step)
                actions += MapGuardAction.Record(MapGuardEvent.Promised(schedule.version, schedule.step))
                null
            }
        }
    }

    private fun handle(
        commit: Commit,
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ): MapRefusal? {
        val change = pending
        val isLate = phase == Phase.RECOVERING
        return when {
            commit.proposal != promised -> {
                promiseRefusal(commit.proposal)
            }

            commit.committed.version == head?.version -> {
                activate(now, actions)
                null
            }

            change?.map?.version != commit.committed.version -> {
                MapRefusal.NOT_PREPARED
            }

            change.step != commit.committed.firstStep && !isLate -> {
                MapRefusal.NOT_PREPARED
            }

            commit.committed.firstStep <= lastPermittedWithOtherMap() -> {
                MapRefusal.STEP_TOO_EARLY
            }

            else -> {
                commit(commit.committed, commit.previous, now, actions)
                null
            }
        }
    }

    private fun handle(
        abort: Abort,
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ): MapRefusal? {
        val current = promised
        if (current == null || abort.proposal > current) return MapRefusal.OTHER_INCARNATION
        abort(abort.proposal, now, actions)
        // While recovering, the guard refuses to schedule, so no later proposal can have committed a map.
        if (phase == Phase.RECOVERING && abort.head?.version == head?.version) activate(now, actions)
        return if (phase == Phase.RECOVERING) MapRefusal.RECOVERING else null
    }

    private fun isAborted(proposal: ProposalNumber): Boolean =
        listOfNotNull(abortedThrough, releasedThrough).any { proposal <= it }

    private fun promiseRefusal(proposal: ProposalNumber): MapRefusal {
        val current = promised
        return if (current != null && proposal < current) MapRefusal.PROMISED_HIGHER else MapRefusal.OTHER_INCARNATION
    }

    private fun commit(
        committed: CommittedMap,
        before: CommittedMap?,
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ) {
        pending?.before?.let { contents[it.version] = it }
        previous = head ?: before
        head = committed
        pending = null
        actions += MapGuardAction.Record(MapGuardEvent.Committed(committed))
        activate(now, actions)
        actions += maintain(now)
    }

    private fun abort(
        proposal: ProposalNumber,
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ) {
        abortedThrough = abortedThrough?.let { maxOf(it, proposal) } ?: proposal
        val change = pending ?: return
        if (change.proposal > proposal) return
        pending = null
        actions += MapGuardAction.Record(MapGuardEvent.Aborted(change.map.version))
        actions += maintain(now)
    }

    private fun activate(
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ) {
        if (phase != Phase.RECOVERING) return
        phase = Phase.ACTIVE
        actions += MapGuardAction.Record(MapGuardEvent.Active(head))
        actions += maintain(now)
    }

    /** Takes over the engine's fencing number, where the engine checks it. */
    private fun begin(
        report: EngineReport,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        if (!settings.checksFencing) {
            fence = report.fence + 1
            return adopt(report, now)
        }
        if (fence == 0L || report.fence > fence) {
            fence = report.fence + 1
            return listOf(read(now))
        }
        return if (report.fence == fence) adopt(report, now) else emptyList()
    }

    /** Takes over the engine's state and releases maps that no step is permitted with. */
    private fun adopt(
        report: EngineReport,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        engine = report
        val permittedIds = report.permitted.map { it.id }.toSet()
        val unused = report.maps.filter { it.id !in permittedIds }
        permittedThrough = reachOfPredecessor(report)
        if (unused.isNotEmpty()) {
            phase = Phase.UNLOADING
            return unused.map { MapGuardAction.Command(UnloadMap(fence, it.id)) }
        }
        val ranges = report.permitted.groupBy { it.id.version }.toSortedMap()
        val committed = ranges.map { (version, parts) -> CommittedMap(version, parts.minOf { it.first }) }
        head = committed.lastOrNull()
        previous = committed.dropLast(1).lastOrNull()
        report.maps.forEach { contents[it.id.version] = it.content }
        phase = Phase.RECOVERING
        return listOf(ask(now))
    }

    /** Bounds the last step that any agent can have permitted to the engine when it sent [report]. */
    private fun reachOfPredecessor(report: EngineReport): Long {
        // A late permission names a map that an engine without maps does not have.
        if (report.maps.isEmpty() && report.permitted.isEmpty()) return report.nextStep - 1
        return maxOf(report.lastPermittedStep ?: Long.MIN_VALUE, report.nextStep + settings.permitWindowSteps - 1)
    }

    private fun follow(
        report: EngineReport,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        val last = engine
        engine = report
        val restarted = last != null && last.incarnation != report.incarnation
        val actions = mutableListOf<MapGuardAction>()
        if (restarted) {
            loadRequested.clear()
            // The weights of a map that is only prepared are lost; the coordinator aborts the change.
            pending?.takeIf { it.step == null }?.let {
                releasedThrough = it.proposal
                pending = null
            }
            actions += MapGuardAction.Record(MapGuardEvent.EngineRestarted)
        }
        if (!restarted && isCommandedByAnother(report)) {
            phase = Phase.SUPERSEDED
            return actions + MapGuardAction.Record(MapGuardEvent.Superseded)
        }
        return actions + maintain(now)
    }

    private fun isCommandedByAnother(report: EngineReport): Boolean {
        if (settings.checksFencing && report.fence > fence) return true
        val last = report.lastPermittedStep ?: return false
        val known = setOfNotNull(head?.version, previous?.version, pending?.map?.version)
        return last > permittedThrough || report.permitted.any { it.last >= report.nextStep && it.id.version !in known }
    }

    /** Loads maps that are missing, releases maps that are no longer needed and permits the next steps. */
    private fun maintain(now: MonotonicTime): List<MapGuardAction> =
        buildList {
            val report = engine ?: return@buildList
            val needed = neededVersions()
            contents.keys.retainAll { it in needed }
            loadRequested.keys.retainAll { it.version in needed }
            needed.filter { it != pending?.map?.version }.forEach { load(it, now, this) }
            report.maps
                .filter { it.id.version !in needed }
                .forEach { add(MapGuardAction.Command(UnloadMap(fence, it.id))) }
            if (phase == Phase.ACTIVE) permit(report, this)
        }

    private fun neededVersions(): Set<MapVersion> =
        buildSet {
            head?.let { add(it.version) }
            pending?.let { add(it.map.version) }
            val current = head
            if (current != null && needsPrevious(current)) previous?.let { add(it.version) }
        }

    /** Keeps the earlier map for one step longer: a rank of the group may be one step behind and have to fetch it. */
    private fun needsPrevious(current: CommittedMap): Boolean = nextStep() <= current.firstStep + 1

    private fun permit(
        report: EngineReport,
        actions: MutableList<MapGuardAction>,
    ) {
        val current = head ?: return
        val scheduled = pending?.step ?: Long.MAX_VALUE
        val limit = minOf(report.nextStep + settings.permitWindowSteps - 1, scheduled - 1)
        val first = report.permittedWithoutGap + 1
        val before = previous
        if (first < current.firstStep && before != null) {
            permitRange(first, minOf(limit, current.firstStep - 1), before.version, actions)
        }
        permitRange(maxOf(first, current.firstStep), limit, current.version, actions)
    }

    private fun permitRange(
        first: Long,
        last: Long,
        version: MapVersion,
        actions: MutableList<MapGuardAction>,
    ) {
        val id = loadedId(version)
        if (first > last || id == null) return
        permittedThrough = maxOf(permittedThrough, last)
        actions += MapGuardAction.Command(PermitSteps(fence, first, last, id))
    }

    private fun load(
        version: MapVersion,
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ) {
        val content = contents[version] ?: return
        val id = LoadedMapId(version, incarnation)
        val isPending = pending?.map?.version == version
        val requested = loadRequested[id]
        // A map that is not committed is requested once: a second request that arrives after the map was released would
        // leave it loaded.
        val mayRepeat = !isPending && requested != null && now - requested >= settings.loadRetryInterval
        if (loadedId(version) != null || (requested != null && !mayRepeat)) return
        loadRequested[id] = now
        actions += MapGuardAction.Command(LoadMap(fence, LoadedMap(id, content)))
    }

    private fun read(now: MonotonicTime): MapGuardAction {
        lastRead = now
        readNumber += 1
        return MapGuardAction.Command(ReadEngine(fence, readNumber))
    }

    /** Asks a few ranks in turn: a whole group that asks each other at once would send one message per pair of ranks. */
    private fun ask(now: MonotonicTime): MapGuardAction {
        lastAsked = now
        val asked = List(minOf(settings.askedRanks, ranks - 1)) { (rank + 1 + (nextAsked + it) % (ranks - 1)) % ranks }
        nextAsked += asked.size
        return MapGuardAction.Ask(asked, OutcomeRequest(rank))
    }

    private fun waitsForOutcome(): Boolean =
        when (phase) {
            Phase.RECOVERING -> true
            Phase.ACTIVE -> pending?.step?.let { nextStep() >= it } == true
            Phase.READING, Phase.UNLOADING, Phase.SUPERSEDED -> false
        }

    private fun lastPermittedWithOtherMap(): Long =
        if (phase == Phase.RECOVERING) engine?.lastPermittedStep ?: Long.MIN_VALUE else permittedThrough

    private fun nextStep(): Long = engine?.nextStep ?: 0

    private fun isLoaded(version: MapVersion): Boolean = loadedId(version) != null

    /** Returns the name under which [version] is loaded, preferring a load that steps are permitted with. */
    private fun loadedId(version: MapVersion): LoadedMapId? {
        val report = engine ?: return null
        return report.permitted.lastOrNull { it.id.version == version && report.hasLoaded(it.id) }?.id
            ?: report.maps.firstOrNull { it.id.version == version }?.id
    }
}
