package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Changes the expert map of a group by two-phase commit over all ranks, and completes or aborts what other coordinators
 * have left unfinished.
 *
 * Any number of coordinators may run at once. Each first obtains from every rank the promise to obey no lower number, so
 * what an older coordinator still sends is refused by all ranks, and what it has committed anywhere is seen in an
 * answer. A proposal number is used either to finish earlier changes or for one new change, never for both, so that
 * [Abort] with a number stays true for ever.
 */
class MapChangeCoordinator(
    private val ranks: Int,
    private val incarnation: Incarnation,
    private val random: Random,
    private val settings: MapChangeSettings = MapChangeSettings(),
) {
    private data class Intent(
        val base: MapVersion?,
        val map: ExpertMap,
    )

    private sealed interface Stage {
        /** Does nothing before [resumeAt], when another round is due. */
        data class Idle(
            val resumeAt: MonotonicTime? = null,
        ) : Stage

        data object Querying : Stage

        /** Obtains the contents of the maps that lagging ranks need from [holder]. */
        data class Fetching(
            val head: CommittedMap,
            val previous: CommittedMap?,
            val holder: Int,
            val lagging: Set<Int>,
        ) : Stage

        /** Gives the committed map to the ranks that lack it. */
        data class Completing(
            val head: CommittedMap,
            val previous: CommittedMap?,
            val lagging: Set<Int>,
        ) : Stage

        data class Preparing(
            val map: VersionedMap,
            val since: MonotonicTime,
        ) : Stage

        data class Scheduling(
            val scheduled: CommittedMap,
            val since: MonotonicTime,
        ) : Stage

        data class Committing(
            val committed: CommittedMap,
            val previous: CommittedMap?,
        ) : Stage

        /** Tells every rank that no change is pending; [outcome] belongs to a change of this coordinator. */
        data class Aborting(
            val head: CommittedMap?,
            val outcome: MapChangeOutcome?,
        ) : Stage
    }

    private var isActive = false
    private var stage: Stage = Stage.Idle()
    private var intent: Intent? = null
    private var highestCounter = 0L
    private var proposal = ProposalNumber(0, incarnation)
    private var lastSent: MonotonicTime? = null
    private var marginSteps = settings.marginSteps
    private val answers = arrayOfNulls<MapAnswer>(ranks)
    private val done = BooleanArray(ranks)
    private val contents = mutableMapOf<MapVersion, VersionedMap>()

    /** Whether no round and no change is under way. */
    val isIdle: Boolean get() = stage is Stage.Idle

    /** Starts to act as the group's coordinator; the first round finds out what an earlier one has left. */
    fun activate(now: MonotonicTime): List<MapChangeAction> {
        if (isActive) return emptyList()
        isActive = true
        return startRound(now)
    }

    /** Stops to act; ranks ask each other, and the next coordinator finishes what is pending. */
    fun deactivate(): List<MapChangeAction> {
        isActive = false
        stage = Stage.Idle()
        return endIntent(MapChangeOutcome.Unknown)
    }

    /** Changes the group's map to [map], if the group then still uses [base]. */
    fun propose(
        base: MapVersion?,
        map: ExpertMap,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val canStart = isActive && intent == null && stage == Stage.Idle()
        if (!canStart) {
            return listOf(MapChangeAction.Ended(MapChangeOutcome.Aborted(MapChangeAbortReason.Busy)))
        }
        intent = Intent(base, map)
        return startRound(now)
    }

    /** Takes the request of a rank that waits for an outcome. */
    fun receive(
        @Suppress("UNUSED_PARAMETER") request: OutcomeRequest,
        now: MonotonicTime,
    ): List<MapChangeAction> = if (isActive && stage == Stage.Idle()) startRound(now) else emptyList()

    /** Takes the answer of a rank. */
    fun receive(
        answer: MapAnswer,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        answer.report.promised?.let { highestCounter = maxOf(highestCounter, it.counter) }
        answer.report.head?.let { highestCounter = maxOf(highestCounter, it.version.proposal.counter) }
        if (!isActive || stage is Stage.Idle || answer.proposal != proposal) return emptyList()
        return when (answer.refusal) {
            null -> accepted(answer, now)
            MapRefusal.STARTING -> emptyList()
            MapRefusal.PROMISED_HIGHER -> yieldToOther(now)
            else -> refused(answer, now)
        }
    }

    /** Repeats unanswered requests and ends what takes too long. */
    fun tick(now: MonotonicTime): List<MapChangeAction> {
        val current = stage
        if (!isActive) return emptyList()
        if (current is Stage.Idle) {
            return if (current.resumeAt != null && now >= current.resumeAt) startRound(now) else emptyList()
        }
        if (current is Stage.Preparing && now - current.since >= settings.prepareTimeout) {
            return startAbort(MapChangeAbortReason.TimedOut(missingRanks()), now)
        }
        if (current is Stage.Scheduling && now - current.since >= settings.scheduleTimeout) {
            return startAbort(MapChangeAbortReason.TimedOut(missingRanks()), now)
        }
        val last = lastSent
        val interval = if (current is Stage.Preparing) settings.loadPollInterval else settings.retryInterval
        return if (last == null || now - last >= interval) sendMissing(now) else emptyList()
    }

    private fun startRound(now: MonotonicTime): List<MapChangeAction> {
        highestCounter += 1
        proposal = ProposalNumber(highestCounter, incarnation)
        answers.fill(null)
        contents.clear()
        return enter(Stage.Querying, now)
    }

    private fun enter(
        next: Stage,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        stage = next
        done.fill(false)
        return sendMissing(now)
    }

    private fun sendMissing(now: MonotonicTime): List<MapChangeAction> {
        lastSent = now
        return (0 until ranks).filter { !done[it] }.mapNotNull { rank ->
            requestFor(rank)?.let { MapChangeAction.Send(rank, it) }
        }
    }

    private fun requestFor(rank: Int): MapRequest? {
        val answer = answers[rank]
        if (answer == null) return if (stage is Stage.Querying) Query(proposal) else null
        val recipient = answer.incarnation
        return when (val current = stage) {
            is Stage.Idle -> {
                null
            }

            is Stage.Querying -> {
                Query(proposal)
            }

            is Stage.Fetching -> {
                val missing = listOfNotNull(current.head, current.previous).map { it.version } - contents.keys
                if (rank == current.holder) Query(proposal, missing.first()) else null
            }

            is Stage.Completing -> {
                completion(current, rank, answer)
            }

            is Stage.Preparing -> {
                val isBegun = answer.report.pending == current.map.version
                if (isBegun) Query(proposal) else Prepare(proposal, recipient, current.map)
            }

            is Stage.Scheduling -> {
                Schedule(proposal, recipient, current.scheduled.version, current.scheduled.firstStep)
            }

            is Stage.Committing -> {
                Commit(proposal, recipient, current.committed, current.previous)
            }

            is Stage.Aborting -> {
                Abort(proposal, recipient, current.head)
            }
        }
    }

    private fun completion(
        completing: Stage.Completing,
        rank: Int,
        answer: MapAnswer,
    ): MapRequest {
        val version = completing.head.version
        val hasMap = answer.report.head?.version == version || answer.report.pending == version
        val content = contents[version]
        return if (rank !in completing.lagging || hasMap || content == null) {
            Commit(proposal, answer.incarnation, completing.head, completing.previous)
        } else {
            Prepare(proposal, answer.incarnation, content, completing.previous?.let { contents[it.version] })
        }
    }

    private fun accepted(
        answer: MapAnswer,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val rank = answer.rank
        val known = answers[rank]
        if (known != null && known.incarnation != answer.incarnation) return startRound(now)
        answers[rank] = answer
        val current = stage
        return when (current) {
            is Stage.Idle -> {
                emptyList()
            }

            is Stage.Querying -> {
                done[rank] = true
                if (done.all { it }) evaluate(now) else emptyList()
            }

            is Stage.Fetching -> {
                fetched(current, answer, now)
            }

            is Stage.Completing -> {
                if (answer.kind == MapRequestKind.COMMIT) {
                    finish(rank) { startRound(now) }
                } else {
                    listOfNotNull(requestFor(rank)?.takeIf { it is Commit }?.let { MapChangeAction.Send(rank, it) })
                }
            }

            is Stage.Preparing -> {
                val report = answer.report
                val isLoaded = report.pending == current.map.version && report.pendingLoaded
                // The engine restarted after it began to load.
                val isLost =
                    answer.kind == MapRequestKind.QUERY && known?.report?.pending != null && report.pending == null
                when {
                    isLost -> startAbort(MapChangeAbortReason.Refused(rank, MapRefusal.NOT_PREPARED), now)
                    isLoaded -> finish(rank) { schedule(current.map, now) }
                    else -> emptyList()
                }
            }

            is Stage.Scheduling -> {
                if (answer.kind != MapRequestKind.SCHEDULE) return emptyList()
                finish(rank) {
                    enter(Stage.Committing(current.scheduled, answer.report.head), now)
                }
            }

            is Stage.Committing -> {
                if (answer.kind != MapRequestKind.COMMIT) return emptyList()
                finish(rank) {
                    marginSteps = settings.marginSteps
                    stage = Stage.Idle()
                    endIntent(MapChangeOutcome.Committed(current.committed)) +
                        MapChangeAction.Settled(current.committed)
                }
            }

            is Stage.Aborting -> {
                if (answer.kind != MapRequestKind.ABORT) return emptyList()
                finish(rank) { aborted(current, now) }
            }
        }
    }

    private fun finish(
        rank: Int,
        next: () -> List<MapChangeAction>,
    ): List<MapChangeAction> {
        if (done[rank]) return emptyList()
        done[rank] = true
        return if (done.all { it }) next() else emptyList()
    }

    /** Decides what to do once every rank has answered the query. */
    private fun evaluate(now: MonotonicTime): List<MapChangeAction> {
        val reports = answers.map { checkNotNull(it).report }
        // An engine that restarted reports the map from the step at which it joined again.
        val newest = reports.mapNotNull { it.head }.maxWithOrNull(compareBy({ it.version }, { -it.firstStep }))
        val lagging = reports.indices.filter { reports[it].head?.version != newest?.version }.toSet()
        if (newest != null && lagging.isNotEmpty()) return startCompletion(reports, newest, lagging, now)
        val isUnfinished = reports.any { it.pending != null || it.recovering }
        if (isUnfinished) return enter(Stage.Aborting(newest, outcome = null), now)
        val wanted = intent
        return when {
            wanted == null -> {
                stage = Stage.Idle()
                listOf(MapChangeAction.Settled(newest))
            }

            wanted.base != newest?.version -> {
                stage = Stage.Idle()
                endIntent(MapChangeOutcome.Aborted(MapChangeAbortReason.OtherBase(newest)))
            }

            else -> {
                enter(Stage.Preparing(VersionedMap(MapVersion(proposal), wanted.map), now), now)
            }
        }
    }

    private fun startCompletion(
        reports: List<GuardReport>,
        head: CommittedMap,
        lagging: Set<Int>,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val isBeforeHead = lagging.any { reports[it].head == null && reports[it].nextStep < head.firstStep }
        val previous = if (isBeforeHead) reports.mapNotNull { it.previous }.maxByOrNull { it.version } else null
        val holder =
            reports.indices.firstOrNull { it !in lagging && previous != null && reports[it].previous == previous }
                ?: reports.indices.first { it !in lagging }
        val allHaveContent = lagging.all { reports[it].pending == head.version } && previous == null
        return if (allHaveContent) {
            enter(Stage.Completing(head, previous, lagging), now)
        } else {
            enter(Stage.Fetching(head, previous, holder, lagging), now)
        }
    }

    private fun fetched(
        fetching: Stage.Fetching,
        answer: MapAnswer,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        if (answer.rank != fetching.holder || answer.kind != MapRequestKind.QUERY) return emptyList()
        val map = answer.map ?: return emptyList()
        contents[map.version] = map
        val isComplete = listOfNotNull(fetching.head, fetching.previous).all { it.version in contents }
        return if (isComplete) {
            enter(Stage.Completing(fetching.head, fetching.previous, fetching.lagging), now)
        } else {
            sendMissing(now)
        }
    }

    private fun schedule(
        map: VersionedMap,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val reports = answers.map { checkNotNull(it).report }
        val earliest = reports.maxOf { it.firstFreeStep }
        // A group without a map runs no steps, so there is nothing to run up to a later step with.
        val hasMap = reports.any { it.head != null }
        val step = if (hasMap) earliest + marginSteps else earliest
        return enter(Stage.Scheduling(CommittedMap(map.version, step), now), now)
    }

    private fun refused(
        answer: MapAnswer,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val refusal = checkNotNull(answer.refusal)
        return when (val current = stage) {
            is Stage.Preparing -> {
                if (answer.kind == MapRequestKind.PREPARE) {
                    startAbort(MapChangeAbortReason.Refused(answer.rank, refusal), now)
                } else {
                    emptyList()
                }
            }

            is Stage.Scheduling -> {
                if (answer.kind == MapRequestKind.SCHEDULE) {
                    if (refusal == MapRefusal.STEP_TOO_EARLY) {
                        marginSteps = minOf(marginSteps * 2, settings.marginStepsMaximum)
                    }
                    startAbort(MapChangeAbortReason.Refused(answer.rank, refusal), now)
                } else {
                    emptyList()
                }
            }

            // The decision stands; a new round learns the state of a rank that restarted and completes it there.
            is Stage.Committing, is Stage.Completing, is Stage.Fetching, is Stage.Aborting -> {
                val outcome = (current as? Stage.Aborting)?.outcome ?: MapChangeOutcome.Unknown
                val ended =
                    if (current is Stage.Committing ||
                        current is Stage.Aborting
                    ) {
                        endIntent(outcome)
                    } else {
                        listOf()
                    }
                ended + startRound(now)
            }

            is Stage.Idle, is Stage.Querying -> {
                emptyList()
            }
        }
    }

    private fun startAbort(
        reason: MapChangeAbortReason,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val head = answers.firstNotNullOfOrNull { it?.report?.head }
        return enter(Stage.Aborting(head, MapChangeOutcome.Aborted(reason)), now)
    }

    private fun aborted(
        aborting: Stage.Aborting,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        if (aborting.outcome == null && intent != null) return startRound(now)
        stage = Stage.Idle()
        val ended = aborting.outcome?.let { endIntent(it) }.orEmpty()
        return ended + MapChangeAction.Settled(aborting.head)
    }

    private fun yieldToOther(now: MonotonicTime): List<MapChangeAction> {
        val span = (settings.backOffMaximum - settings.backOffMinimum).inWholeNanoseconds
        val pause: Duration = settings.backOffMinimum + random.nextLong(span + 1).nanoseconds
        val isDecided = stage is Stage.Preparing || stage is Stage.Scheduling || stage is Stage.Committing
        stage = Stage.Idle(resumeAt = now + pause)
        return if (isDecided) endIntent(MapChangeOutcome.Unknown) else emptyList()
    }

    private fun endIntent(outcome: MapChangeOutcome): List<MapChangeAction> {
        if (intent == null) return emptyList()
        intent = null
        return listOf(MapChangeAction.Ended(outcome))
    }

    private fun missingRanks(): List<Int> = (0 until ranks).filter { !done[it] }
}
