package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Changes the expert map of a group by two-phase commit over all ranks, and completes or aborts changes that other
 * coordinators have left unfinished.
 *
 * Any number of coordinators may run at once. Each one starts with a round, in which it obtains from every rank the
 * promise to obey no lower proposal number. From then on all ranks refuse the requests of coordinators with lower
 * numbers, and a map that such a coordinator has committed on any rank is reported in that rank's answer. A proposal
 * number is used either to finish earlier changes or for one new change, never for both, so that an [Abort] with a
 * number stays valid for ever.
 */
class MapChangeCoordinator(
    private val ranks: Int,
    private val incarnation: Incarnation,
    private val random: Random,
    private val settings: MapChangeSettings = MapChangeSettings(),
) {
    private data class RequestedChange(
        val base: MapVersion?,
        val map: ExpertMap,
    )

    private sealed interface Stage {
        /** No round is in progress. The next one starts at [nextRoundAt], or on request if that is `null`. */
        data class Idle(
            val nextRoundAt: MonotonicTime? = null,
        ) : Stage

        /** Obtains the promise and the report of every rank. */
        data object Querying : Stage

        /** Obtains the contents of the maps that the [lagging] ranks need from [sourceRank]. */
        data class Fetching(
            val head: CommittedMap,
            val previous: CommittedMap?,
            val sourceRank: Int,
            val lagging: Set<Int>,
        ) : Stage

        /** Sends the committed map to the ranks that lack it. */
        data class Completing(
            val head: CommittedMap,
            val previous: CommittedMap?,
            val lagging: Set<Int>,
        ) : Stage

        /** Has every rank load the weights of the proposed map. */
        data class Preparing(
            val map: VersionedMap,
            val startedAt: MonotonicTime,
        ) : Stage

        /** Obtains the promise of every rank not to run the scheduled step before it has received the outcome. */
        data class Scheduling(
            val scheduled: CommittedMap,
            val startedAt: MonotonicTime,
        ) : Stage

        /** Sends the commit to every rank. */
        data class Committing(
            val committed: CommittedMap,
            val previous: CommittedMap?,
        ) : Stage

        /** Notifies every rank that no change is pending. [outcome] is that of this coordinator's change, if any. */
        data class Aborting(
            val head: CommittedMap?,
            val outcome: MapChangeOutcome?,
        ) : Stage
    }

    private var isActive = false
    private var stage: Stage = Stage.Idle()
    private var requestedChange: RequestedChange? = null
    private var highestCounter = 0L
    private var proposal = ProposalNumber(0, incarnation)
    private var lastSent: MonotonicTime? = null
    private var marginSteps = settings.marginSteps
    private val answers = arrayOfNulls<MapAnswer>(ranks)
    private val doneRanks = BooleanArray(ranks)
    private val contents = mutableMapOf<MapVersion, VersionedMap>()

    /** Whether no round and no change is in progress. */
    val isIdle: Boolean get() = stage is Stage.Idle

    /** Starts to act as the group's coordinator; the first round finishes changes of earlier coordinators. */
    fun activate(now: MonotonicTime): List<MapChangeAction> {
        if (isActive) return emptyList()
        isActive = true
        return startRound(now)
    }

    /** Stops acting as coordinator; ranks ask each other for outcomes, and the next coordinator finishes changes. */
    fun deactivate(): List<MapChangeAction> {
        isActive = false
        stage = Stage.Idle()
        return endRequestedChange(MapChangeOutcome.Unknown)
    }

    /** Starts a change of the group's map to [map], which is aborted unless the group uses [base]. */
    fun propose(
        base: MapVersion?,
        map: ExpertMap,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val canStart = isActive && requestedChange == null && stage == Stage.Idle()
        if (!canStart) {
            return listOf(MapChangeAction.Ended(MapChangeOutcome.Aborted(MapChangeAbortReason.Busy)))
        }
        requestedChange = RequestedChange(base, map)
        return startRound(now)
    }

    /** Handles the request of a rank that waits for an outcome. */
    fun receive(
        @Suppress("UNUSED_PARAMETER") request: OutcomeRequest,
        now: MonotonicTime,
    ): List<MapChangeAction> = if (isActive && stage == Stage.Idle()) startRound(now) else emptyList()

    /** Handles the answer of a rank. */
    fun receive(
        answer: MapAnswer,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        answer.report.promised?.let { highestCounter = maxOf(highestCounter, it.counter) }
        answer.report.head?.let { highestCounter = maxOf(highestCounter, it.version.proposal.counter) }
        if (!isActive || stage is Stage.Idle || answer.proposal != proposal) return emptyList()
        return when (answer.refusal) {
            null -> handleAcceptance(answer, now)
            MapRefusal.STARTING -> emptyList()
            MapRefusal.PROMISED_HIGHER -> backOff(now)
            else -> handleRefusal(answer, now)
        }
    }

    /** Repeats unanswered requests, aborts a change that timed out and starts a round that is due. */
    fun tick(now: MonotonicTime): List<MapChangeAction> {
        val current = stage
        if (!isActive) return emptyList()
        if (current is Stage.Idle) {
            return if (current.nextRoundAt != null && now >= current.nextRoundAt) startRound(now) else emptyList()
        }
        if (current is Stage.Preparing && now - current.startedAt >= settings.prepareTimeout) {
            return startAbort(MapChangeAbortReason.TimedOut(outstandingRanks()), now)
        }
        if (current is Stage.Scheduling && now - current.startedAt >= settings.scheduleTimeout) {
            return startAbort(MapChangeAbortReason.TimedOut(outstandingRanks()), now)
        }
        val sentAt = lastSent
        val interval = if (current is Stage.Preparing) settings.loadPollInterval else settings.retryInterval
        return if (sentAt == null || now - sentAt >= interval) sendOutstandingRequests(now) else emptyList()
    }

    private fun startRound(now: MonotonicTime): List<MapChangeAction> {
        highestCounter += 1
        proposal = ProposalNumber(highestCounter, incarnation)
        answers.fill(null)
        contents.clear()
        return enterStage(Stage.Querying, now)
    }

    private fun enterStage(
        next: Stage,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        stage = next
        doneRanks.fill(false)
        return sendOutstandingRequests(now)
    }

    private fun sendOutstandingRequests(now: MonotonicTime): List<MapChangeAction> {
        lastSent = now
        return (0 until ranks).filter { !doneRanks[it] }.mapNotNull { rank ->
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
                if (rank == current.sourceRank) Query(proposal, missing.first()) else null
            }

            is Stage.Completing -> {
                completionRequest(current, rank, answer)
            }

            is Stage.Preparing -> {
                val isLoadStarted = answer.report.pending == current.map.version
                if (isLoadStarted) Query(proposal) else Prepare(proposal, recipient, current.map)
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

    private fun completionRequest(
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

    private fun handleAcceptance(
        answer: MapAnswer,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val rank = answer.rank
        val lastAnswer = answers[rank]
        if (lastAnswer != null && lastAnswer.incarnation != answer.incarnation) return startRound(now)
        answers[rank] = answer
        val current = stage
        return when (current) {
            is Stage.Idle -> {
                emptyList()
            }

            is Stage.Querying -> {
                doneRanks[rank] = true
                if (doneRanks.all { it }) evaluateReports(now) else emptyList()
            }

            is Stage.Fetching -> {
                handleFetchedMap(current, answer, now)
            }

            is Stage.Completing -> {
                if (answer.kind == MapRequestKind.COMMIT) {
                    markDone(rank) { startRound(now) }
                } else {
                    listOfNotNull(requestFor(rank)?.takeIf { it is Commit }?.let { MapChangeAction.Send(rank, it) })
                }
            }

            is Stage.Preparing -> {
                val report = answer.report
                val isLoaded = report.pending == current.map.version && report.pendingLoaded
                // A rank whose engine restarted after the load had started no longer reports the map as pending.
                val isMapLost =
                    answer.kind == MapRequestKind.QUERY && lastAnswer?.report?.pending != null && report.pending == null
                when {
                    isMapLost -> startAbort(MapChangeAbortReason.Refused(rank, MapRefusal.NOT_PREPARED), now)
                    isLoaded -> markDone(rank) { startScheduling(current.map, now) }
                    else -> emptyList()
                }
            }

            is Stage.Scheduling -> {
                if (answer.kind != MapRequestKind.SCHEDULE) return emptyList()
                markDone(rank) {
                    enterStage(Stage.Committing(current.scheduled, answer.report.head), now)
                }
            }

            is Stage.Committing -> {
                if (answer.kind != MapRequestKind.COMMIT) return emptyList()
                markDone(rank) {
                    marginSteps = settings.marginSteps
                    stage = Stage.Idle()
                    endRequestedChange(MapChangeOutcome.Committed(current.committed)) +
                        MapChangeAction.Settled(current.committed)
                }
            }

            is Stage.Aborting -> {
                if (answer.kind != MapRequestKind.ABORT) return emptyList()
                markDone(rank) { finishAbort(current, now) }
            }
        }
    }

    private fun markDone(
        rank: Int,
        onAllDone: () -> List<MapChangeAction>,
    ): List<MapChangeAction> {
        if (doneRanks[rank]) return emptyList()
        doneRanks[rank] = true
        return if (doneRanks.all { it }) onAllDone() else emptyList()
    }

    /** Chooses the next stage once every rank has answered the query. */
    private fun evaluateReports(now: MonotonicTime): List<MapChangeAction> {
        val reports = answers.map { checkNotNull(it).report }
        // An engine that restarted reports the map with the step at which it rejoined, so the lowest first step counts.
        val newestHead = reports.mapNotNull { it.head }.maxWithOrNull(compareBy({ it.version }, { -it.firstStep }))
        val lagging = reports.indices.filter { reports[it].head?.version != newestHead?.version }.toSet()
        if (newestHead != null && lagging.isNotEmpty()) return startCompletion(reports, newestHead, lagging, now)
        val isUnfinished = reports.any { it.pending != null || it.recovering }
        if (isUnfinished) return enterStage(Stage.Aborting(newestHead, outcome = null), now)
        val change = requestedChange
        return when {
            change == null -> {
                stage = Stage.Idle()
                listOf(MapChangeAction.Settled(newestHead))
            }

            change.base != newestHead?.version -> {
                stage = Stage.Idle()
                endRequestedChange(MapChangeOutcome.Aborted(MapChangeAbortReason.BaseMismatch(newestHead)))
            }

            else -> {
                enterStage(Stage.Preparing(VersionedMap(MapVersion(proposal), change.map), now), now)
            }
        }
    }

    private fun startCompletion(
        reports: List<GuardReport>,
        head: CommittedMap,
        lagging: Set<Int>,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val needsPrevious = lagging.any { reports[it].head == null && reports[it].nextStep < head.firstStep }
        val previous = if (needsPrevious) reports.mapNotNull { it.previous }.maxByOrNull { it.version } else null
        val sourceRank =
            reports.indices.firstOrNull { it !in lagging && previous != null && reports[it].previous == previous }
                ?: reports.indices.first { it !in lagging }
        val allHaveContent = lagging.all { reports[it].pending == head.version } && previous == null
        return if (allHaveContent) {
            enterStage(Stage.Completing(head, previous, lagging), now)
        } else {
            enterStage(Stage.Fetching(head, previous, sourceRank, lagging), now)
        }
    }

    private fun handleFetchedMap(
        fetching: Stage.Fetching,
        answer: MapAnswer,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        if (answer.rank != fetching.sourceRank || answer.kind != MapRequestKind.QUERY) return emptyList()
        val map = answer.map ?: return emptyList()
        contents[map.version] = map
        val isComplete = listOfNotNull(fetching.head, fetching.previous).all { it.version in contents }
        return if (isComplete) {
            enterStage(Stage.Completing(fetching.head, fetching.previous, fetching.lagging), now)
        } else {
            sendOutstandingRequests(now)
        }
    }

    private fun startScheduling(
        map: VersionedMap,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        val reports = answers.map { checkNotNull(it).report }
        val earliestStep = reports.maxOf { it.firstUnpermittedStep }
        // A group without a map has no map to run the steps of the margin with.
        val hasMap = reports.any { it.head != null }
        val step = if (hasMap) earliestStep + marginSteps else earliestStep
        return enterStage(Stage.Scheduling(CommittedMap(map.version, step), now), now)
    }

    private fun handleRefusal(
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

            // The decision remains valid; a new round queries the rank that restarted and completes the change there.
            is Stage.Committing, is Stage.Completing, is Stage.Fetching, is Stage.Aborting -> {
                val outcome = (current as? Stage.Aborting)?.outcome ?: MapChangeOutcome.Unknown
                val ended =
                    if (current is Stage.Committing ||
                        current is Stage.Aborting
                    ) {
                        endRequestedChange(outcome)
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
        return enterStage(Stage.Aborting(head, MapChangeOutcome.Aborted(reason)), now)
    }

    private fun finishAbort(
        aborting: Stage.Aborting,
        now: MonotonicTime,
    ): List<MapChangeAction> {
        if (aborting.outcome == null && requestedChange != null) return startRound(now)
        stage = Stage.Idle()
        val ended = aborting.outcome?.let { endRequestedChange(it) }.orEmpty()
        return ended + MapChangeAction.Settled(aborting.head)
    }

    private fun backOff(now: MonotonicTime): List<MapChangeAction> {
        val delayRange = (settings.backOffMaximum - settings.backOffMinimum).inWholeNanoseconds
        val delay: Duration = settings.backOffMinimum + random.nextLong(delayRange + 1).nanoseconds
        val isChangeInProgress = stage is Stage.Preparing || stage is Stage.Scheduling || stage is Stage.Committing
        stage = Stage.Idle(nextRoundAt = now + delay)
        return if (isChangeInProgress) endRequestedChange(MapChangeOutcome.Unknown) else emptyList()
    }

    private fun endRequestedChange(outcome: MapChangeOutcome): List<MapChangeAction> {
        if (requestedChange == null) return emptyList()
        requestedChange = null
        return listOf(MapChangeAction.Ended(outcome))
    }

    private fun outstandingRanks(): List<Int> = (0 until ranks).filter { !doneRanks[it] }
}
