package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime

/**
 * Permits steps to the engine of one rank, so that all ranks of the group run each step with the same map.
 *
 * Every permitted range of steps states which map the group uses in these steps, and that never changes afterwards. A
 * permission that reaches the engine late is therefore either still correct or has no effect:
 * - A permission with the committed map covers at most [MapGuardSettings.permitWindowSteps] steps from the step on that
 *   the engine had reported. A new guard promises only later steps, whatever its predecessor has permitted.
 * - A permission with a newer map names a loaded map. Before a new guard accepts any request, it unloads each map that
 *   no step is permitted with, so an engine that ignores fencing numbers has no map that the late permission names.
 *
 * A guard that starts has lost the promises of its predecessor. It permits nothing until a coordinator whose proposal
 * number is higher than all others has queried every rank and sent it the group's map.
 *
 * The guard assumes that at most one live agent commands an engine. If two do, engines that check fencing numbers are
 * safe; for other engines the guard stops as soon as a report contains a permission that neither it nor its predecessor
 * gave.
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
        val previousMap: VersionedMap? = null,
    )

    private var phase = Phase.READING
    private var promised: ProposalNumber? = null
    private var abortedThrough: ProposalNumber? = null

    /** Proposal whose map this rank has released; a second load of the map could race with its release. */
    private var releasedThrough: ProposalNumber? = null
    private var head: CommittedMap? = null
    private var previous: CommittedMap? = null
    private var pending: PendingChange? = null
    private var engine: EngineReport? = null
    private var fence = 0L
    private var readNumber = 0L
    private var lastReadAt: MonotonicTime? = null
    private var lastOutcomeRequestAt: MonotonicTime? = null
    private var nextRankOffset = 0

    /** Last step that this guard or its predecessor may have permitted. */
    private var permittedThrough = Long.MIN_VALUE
    private val contents = mutableMapOf<MapVersion, VersionedMap>()
    private val loadRequested = mutableMapOf<LoadedMapId, MonotonicTime>()

    /** Whether the guard has received the group's map and permits steps. */
    val isActive: Boolean get() = phase == Phase.ACTIVE

    /** Whether another agent has taken over the engine, so that this one must exit. */
    val isSuperseded: Boolean get() = phase == Phase.SUPERSEDED

    /** Last committed map that this rank has received. */
    val committed: CommittedMap? get() = head

    /** Content of [committed]. */
    val committedContent: VersionedMap? get() = head?.let { contents[it.version] }

    /** Step before which the engine waits for the outcome of the pending change; `null` if no step is scheduled. */
    val scheduledStep: Long? get() = pending?.step

    /** State of the rank for answers, metrics and health. */
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
                firstUnpermittedStep = permittedThrough + 1,
                recovering = phase != Phase.ACTIVE,
            )

    /** Reads the engine's state at intervals and requests the outcome of a change that the engine waits for. */
    fun tick(now: MonotonicTime): List<MapGuardAction> =
        buildList {
            if (phase == Phase.SUPERSEDED) return@buildList
            val sinceRead = lastReadAt?.let { now - it }
            if (sinceRead == null || sinceRead >= settings.readInterval) add(readEngine(now))
            if (waitsForOutcome() && lastOutcomeRequestAt.let { it == null || now - it >= settings.askInterval }) {
                add(requestOutcome(now))
            }
        }

    /** Handles a report of the engine. */
    fun receive(
        report: EngineReport,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        val lastReport = engine
        if (phase == Phase.SUPERSEDED || report.number > readNumber) return emptyList()
        if (lastReport != null && report.number <= lastReport.number) return emptyList()
        if (lastReport != null && lastReport.incarnation == report.incarnation &&
            report.nextStep < lastReport.nextStep
        ) {
            return emptyList()
        }
        return when (phase) {
            Phase.READING -> acquireFence(report, now)
            Phase.UNLOADING -> adoptEngineState(report, now)
            Phase.RECOVERING, Phase.ACTIVE -> handleEngineReport(report, now)
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
        val requestedVersion = (request as? Query)?.requestedMap?.takeIf { refusal == null }
        val answer =
            MapAnswer(
                rank = rank,
                incarnation = incarnation,
                proposal = request.proposal,
                kind = request.kind,
                refusal = refusal,
                report = report,
                map = requestedVersion?.let { contents[it] },
            )
        return actions + MapGuardAction.Answer(answer)
    }

    /** Sends the outcomes of changes that this rank has received to another rank. */
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

    /** Applies the outcome of the pending change that another rank has sent. */
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
                // A rank that has promised a higher number must not commit on the answer of another rank: the new
                // coordinator may already have received the change as undecided from this rank, and the answering rank
                // may have lost its state since.
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

            // A pending map can be replaced only while this rank has promised no step for it, since it cannot be
            // committed without that promise.
            change != null && (change.step != null || change.proposal >= prepare.proposal) -> {
                MapRefusal.NOT_PREPARED
            }

            // Overlapping changes would need three maps in memory, and a rank that restarts could lag by two changes.
            phase == Phase.ACTIVE && current != null && needsPrevious(current) -> {
                MapRefusal.PREVIOUS_CHANGE_UNFINISHED
            }

            else -> {
                contents[version] = prepare.map
                pending = PendingChange(prepare.proposal, prepare.map, previousMap = prepare.previous)
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
        val isRecovering = phase == Phase.RECOVERING
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

            change.step != commit.committed.firstStep && !isRecovering -> {
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
        // A recovering guard refuses to schedule a step, so no later proposal can have committed a map.
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
        previousMap: CommittedMap?,
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ) {
        pending?.previousMap?.let { contents[it.version] = it }
        previous = head ?: previousMap
        head = committed
        pending = null
        actions += MapGuardAction.Record(MapGuardEvent.Committed(committed))
        activate(now, actions)
        actions += updateEngine(now)
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
        actions += updateEngine(now)
    }

    private fun activate(
        now: MonotonicTime,
        actions: MutableList<MapGuardAction>,
    ) {
        if (phase != Phase.RECOVERING) return
        phase = Phase.ACTIVE
        actions += MapGuardAction.Record(MapGuardEvent.Active(head))
        actions += updateEngine(now)
    }

    /** Takes a higher fencing number than the engine's and, once an engine that checks it has it, adopts its state. */
    private fun acquireFence(
        report: EngineReport,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        if (!settings.checksFencing) {
            fence = report.fence + 1
            return adoptEngineState(report, now)
        }
        if (fence == 0L || report.fence > fence) {
            fence = report.fence + 1
            return listOf(readEngine(now))
        }
        return if (report.fence == fence) adoptEngineState(report, now) else emptyList()
    }

    /** Adopts the engine's state, once all maps that no step is permitted with are unloaded. */
    private fun adoptEngineState(
        report: EngineReport,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        engine = report
        val permittedIds = report.permitted.map { it.id }.toSet()
        val unused = report.maps.filter { it.id !in permittedIds }
        permittedThrough = permissionBound(report)
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
        return listOf(requestOutcome(now))
    }

    /** Returns an upper bound of the last step that any agent can have permitted when the engine sent [report]. */
    private fun permissionBound(report: EngineReport): Long {
        // An engine without maps ignores late permissions, since each names a loaded map.
        if (report.maps.isEmpty() && report.permitted.isEmpty()) return report.nextStep - 1
        return maxOf(report.lastPermittedStep ?: Long.MIN_VALUE, report.nextStep + settings.permitWindowSteps - 1)
    }

    private fun handleEngineReport(
        report: EngineReport,
        now: MonotonicTime,
    ): List<MapGuardAction> {
        val lastReport = engine
        engine = report
        val restarted = lastReport != null && lastReport.incarnation != report.incarnation
        val actions = mutableListOf<MapGuardAction>()
        if (restarted) {
            loadRequested.clear()
            // The weights of a map that is prepared but not scheduled are lost; the coordinator aborts the change.
            pending?.takeIf { it.step == null }?.let {
                releasedThrough = it.proposal
                pending = null
            }
            actions += MapGuardAction.Record(MapGuardEvent.EngineRestarted)
        }
        if (!restarted && isCommandedByAnotherAgent(report)) {
            phase = Phase.SUPERSEDED
            return actions + MapGuardAction.Record(MapGuardEvent.Superseded)
        }
        return actions + updateEngine(now)
    }

    private fun isCommandedByAnotherAgent(report: EngineReport): Boolean {
        if (settings.checksFencing && report.fence > fence) return true
        val last = report.lastPermittedStep ?: return false
        val knownVersions = setOfNotNull(head?.version, previous?.version, pending?.map?.version)
        return last > permittedThrough ||
            report.permitted.any { it.last >= report.nextStep && it.id.version !in knownVersions }
    }

    /** Loads missing maps, unloads maps that are no longer needed and permits the next steps. */
    private fun updateEngine(now: MonotonicTime): List<MapGuardAction> =
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

    /** Keeps the previous map for one more step: another rank may be one step behind and have to fetch it. */
    private fun needsPrevious(current: CommittedMap): Boolean = nextStep() <= current.firstStep + 1

    private fun permit(
        report: EngineReport,
        actions: MutableList<MapGuardAction>,
    ) {
        val current = head ?: return
        val scheduled = pending?.step ?: Long.MAX_VALUE
        val limit = minOf(report.nextStep + settings.permitWindowSteps - 1, scheduled - 1)
        val firstStep = report.lastContiguousPermittedStep + 1
        val previousMap = previous
        if (firstStep < current.firstStep && previousMap != null) {
            permitRange(firstStep, minOf(limit, current.firstStep - 1), previousMap.version, actions)
        }
        permitRange(maxOf(firstStep, current.firstStep), limit, current.version, actions)
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
        // The load of a map that is not committed is requested only once: a repeated request that arrives after the map
        // was released would load it again.
        val mayRepeat = !isPending && requested != null && now - requested >= settings.loadRetryInterval
        if (loadedId(version) != null || (requested != null && !mayRepeat)) return
        loadRequested[id] = now
        actions += MapGuardAction.Command(LoadMap(fence, LoadedMap(id, content)))
    }

    private fun readEngine(now: MonotonicTime): MapGuardAction {
        lastReadAt = now
        readNumber += 1
        return MapGuardAction.Command(ReadEngine(fence, readNumber))
    }

    /** Asks a few ranks in turn: if every rank asked all others, the group would send one message per pair of ranks. */
    private fun requestOutcome(now: MonotonicTime): MapGuardAction {
        lastOutcomeRequestAt = now
        val recipients =
            List(minOf(settings.ranksPerOutcomeRequest, ranks - 1)) {
                (rank + 1 + (nextRankOffset + it) % (ranks - 1)) % ranks
            }
        nextRankOffset += recipients.size
        return MapGuardAction.Ask(recipients, OutcomeRequest(rank))
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

    /** Returns the identifier under which [version] is loaded, preferably one that steps are permitted with. */
    private fun loadedId(version: MapVersion): LoadedMapId? {
        val report = engine ?: return null
        return report.permitted.lastOrNull { it.id.version == version && report.hasLoaded(it.id) }?.id
            ?: report.maps.firstOrNull { it.id.version == version }?.id
    }
}
