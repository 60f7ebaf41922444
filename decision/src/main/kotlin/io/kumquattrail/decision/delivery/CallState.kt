package io.kumquattrail.decision.delivery

import io.kumquattrail.decision.idempotency.IdempotencyKey
import io.kumquattrail.decision.idempotency.Ticket
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Names the key of a call and where it runs.
 *
 * @property owner server that owns the key; a call whose owner is unknown never becomes a [CallState].
 * @property round round of the caller's ticket, or 0 without a ticket.
 */
data class KeyedCall(
    val key: IdempotencyKey,
    val owner: ServerName,
    val round: Int = 0,
)

/**
 * Describes a call at its arrival in a gateway.
 *
 * @property silence time without a frame after which an attempt counts as lost.
 */
data class Call(
    val requestId: String,
    val kind: WorkKind,
    val deadline: MonotonicTime,
    val keyed: KeyedCall? = null,
    val silence: Duration = 5.seconds,
)

/**
 * Takes one call through its attempts to a complete answer or a truthful refusal.
 *
 * Frames count only when request, attempt and incarnation match the attempt in flight. An instance is used by one
 * thread at a time.
 */
class CallState(
    private val call: Call,
    private val policy: RetryPolicy,
    limits: AssemblyLimits = AssemblyLimits(),
) {
    init {
        require((call.kind == WorkKind.KEYED) == (call.keyed != null)) { "only keyed calls have a key" }
    }

    private val assembler = StreamAssembler(limits)
    private val excluded = mutableSetOf<ServerName>()
    private var attempt = 0
    private var attemptInFlight = false
    private var server: ServerName? = null
    private var incarnation: Incarnation? = null
    private var round = call.keyed?.round ?: 0
    private var mayHaveRun = false
    private var retryAfter: Duration? = null
    private var pendingRefusal: Refusal? = null

    /** Whether the call has ended; events have no effect and the gateway drops delayed attempts from then on. */
    var ended: Boolean = false
        private set

    /** Takes in [event] and returns what the gateway does, in order. */
    fun handle(
        event: CallEvent,
        now: MonotonicTime,
    ): List<CallAction> =
        when {
            ended -> emptyList()
            pendingRefusal != null -> handleWhileReleasing(event)
            else -> handleWhileRunning(event, now)
        }

    private fun handleWhileRunning(
        event: CallEvent,
        now: MonotonicTime,
    ): List<CallAction> =
        when (event) {
            CallEvent.Start -> {
                if (attempt == 0) listOf(sendAttempt(Duration.ZERO)) else emptyList()
            }

            is CallEvent.ServerChosen -> {
                if (isCurrent(event.attempt)) {
                    server = event.server
                    incarnation = event.incarnation
                }
                emptyList()
            }

            is CallEvent.NoServer -> {
                ifCurrent(event.attempt) { noServer() }
            }

            is CallEvent.ConnectionFailed -> {
                ifCurrent(event.attempt) { attemptFailed(AttemptOutcome.ConnectionFailed, now) }
            }

            is CallEvent.ConnectionLost -> {
                ifCurrent(event.attempt) { attemptLost("The connection to the server was lost.", now) }
            }

            is CallEvent.AttemptTimedOut -> {
                ifCurrent(event.attempt) { attemptTimedOut(now) }
            }

            is CallEvent.FrameArrived -> {
                frame(event.frame, now)
            }

            is CallEvent.RefusedLocally -> {
                refuseLocally(event.refusal)
            }

            CallEvent.ReleaseFailed, is CallEvent.ReleaseAnswered -> {
                emptyList()
            }

            CallEvent.DeadlinePassed -> {
                deadlinePassed()
            }

            CallEvent.CallerGone -> {
                ended = true
                cancellation()
            }
        }

    private fun handleWhileReleasing(event: CallEvent): List<CallAction> =
        when (event) {
            is CallEvent.ReleaseAnswered -> {
                endRelease(event.ticketRound)
            }

            CallEvent.ReleaseFailed, CallEvent.DeadlinePassed -> {
                endRelease(ticketRound = null)
            }

            CallEvent.CallerGone -> {
                ended = true
                emptyList()
            }

            else -> {
                emptyList()
            }
        }

    private fun isCurrent(attempt: Int): Boolean = attemptInFlight && attempt == this.attempt

    private inline fun ifCurrent(
        attempt: Int,
        actions: () -> List<CallAction>,
    ): List<CallAction> = if (isCurrent(attempt)) actions() else emptyList()

    private fun frame(
        frame: Frame,
        now: MonotonicTime,
    ): List<CallAction> {
        if (frame.requestId != call.requestId || !isCurrent(frame.attempt)) return emptyList()
        val expected = incarnation ?: frame.incarnation.also { incarnation = it }
        val fromExpected = frame.incarnation == expected
        return when (val content = frame.content) {
            is FrameContent.NotRun -> notRun(content, fromExpected, now)
            is FrameContent.Broken -> if (fromExpected) attemptLost(content.detail, now) else emptyList()
            is FrameContent.Started -> if (fromExpected) assembled(assembler.accept(content), now) else emptyList()
            is FrameContent.Chunk -> if (fromExpected) assembled(assembler.accept(content), now) else emptyList()
            is FrameContent.Finished -> if (fromExpected) assembled(assembler.accept(content), now) else emptyList()
        }
    }

    private fun notRun(
        content: FrameContent.NotRun,
        fromExpected: Boolean,
        now: MonotonicTime,
    ): List<CallAction> {
        // Another incarnation proves nothing about the one that the attempt was sent to, unless it owns the key.
        if (!fromExpected) mayHaveRun = true
        if (!fromExpected && call.kind == WorkKind.SINGLE) {
            return attemptLost("The server's agent has restarted.", now)
        }
        retryAfter = content.retryAfter
        return attemptFailed(AttemptOutcome.NotRun(content), now)
    }

    private fun sendAttempt(delay: Duration): CallAction {
        attempt++
        attemptInFlight = true
        server = call.keyed?.owner
        incarnation = null
        assembler.beginAttempt()
        return CallAction.SendAttempt(
            attempt = attempt,
            owner = call.keyed?.owner,
            excluded = excluded.toSet(),
            round = round,
            resumeAfterTokens = assembler.writtenTokens,
            delay = delay,
            silence = call.silence,
        )
    }

    private fun assembled(
        result: AssemblyResult,
        now: MonotonicTime,
    ): List<CallAction> =
        when (result) {
            is AssemblyResult.Failed -> {
                result.output.map { CallAction.Write(it) } + cancellation() + attemptLost(result.detail, now)
            }

            is AssemblyResult.Progress -> {
                val writes = result.output.map { CallAction.Write(it) }
                if (result.complete) ended = true
                if (result.complete) writes + CallAction.Finish else writes
            }
        }

    private fun attemptTimedOut(now: MonotonicTime): List<CallAction> =
        when (call.kind) {
            // Nothing but the answer itself helps, so the call waits for it until its deadline.
            WorkKind.SINGLE -> {
                emptyList()
            }

            WorkKind.KEYED, WorkKind.REPEATABLE -> {
                cancellation() + attemptLost("The server did not answer in time.", now)
            }
        }

    private fun attemptLost(
        detail: String,
        now: MonotonicTime,
    ): List<CallAction> {
        mayHaveRun = true
        return attemptFailed(AttemptOutcome.Lost(detail), now)
    }

    private fun attemptFailed(
        outcome: AttemptOutcome,
        now: MonotonicTime,
    ): List<CallAction> {
        attemptInFlight = false
        server?.let { excluded += it }
        val progress =
            CallProgress(
                kind = call.kind,
                deadline = call.deadline,
                attempts = attempt,
                round = round,
                mayHaveRun = mayHaveRun,
                canResume = assembler.canResume,
            )
        return when (val decision = policy.decide(progress, outcome, now)) {
            RetryDecision.RetryElsewhere -> {
                listOf(sendAttempt(Duration.ZERO))
            }

            is RetryDecision.RetryOwner -> {
                round = decision.round
                listOf(sendAttempt(decision.delay))
            }

            is RetryDecision.Refuse -> {
                refuse(decision.refusal, (outcome as? AttemptOutcome.NotRun)?.frame?.ticketRound)
            }
        }
    }

    private fun noServer(): List<CallAction> {
        attemptInFlight = false
        return refuse(
            Refusal(
                reason = RefusalReason.NO_SERVER_AVAILABLE,
                runState = runState(),
                detail = "No server is available for the call.",
                retryAfter = retryAfter,
            ),
        )
    }

    private fun deadlinePassed(): List<CallAction> {
        val actions = cancellation()
        val refusal =
            Refusal(
                reason = RefusalReason.DEADLINE_EXCEEDED,
                runState = runState(),
                detail = "The call did not finish before its deadline.",
            )
        return actions + refuse(refusal)
    }

    /** Returns what is known of attempts of a call without a word from the key's owner. */
    private fun runState(): RunState {
        val proved = call.kind != WorkKind.KEYED && !mayHaveRun && !attemptInFlight
        return if (proved) RunState.NO else RunState.UNKNOWN
    }

    private fun refuseLocally(refusal: Refusal): List<CallAction> {
        val cancellation = cancellation()
        val keyed = call.keyed ?: return cancellation + refuse(refusal.copy(runState = runState()))
        // An earlier attempt of the key, sent through any gateway, may still run until its owner has voided it.
        attemptInFlight = false
        pendingRefusal = refusal
        return listOf(CallAction.ReleaseKey(owner = keyed.owner, round = round))
    }

    private fun endRelease(ticketRound: Int?): List<CallAction> {
        val runState = if (ticketRound == null) RunState.UNKNOWN else RunState.NO
        return pendingRefusal?.let { refuse(it.copy(runState = runState), ticketRound) }.orEmpty()
    }

    private fun refuse(
        refusal: Refusal,
        ticketRound: Int? = null,
    ): List<CallAction> {
        ended = true
        val ticket = call.keyed?.let { keyed -> ticketRound?.let { Ticket(key = keyed.key, round = it).toString() } }
        val complete = refusal.copy(ticket = ticket)
        return listOf(if (assembler.hasOutput) CallAction.BreakOff(complete) else CallAction.Refuse(complete))
    }

    private fun cancellation(): List<CallAction> =
        if (attemptInFlight && call.kind == WorkKind.REPEATABLE) {
            listOf(CallAction.CancelAttempt(attempt))
        } else {
            emptyList()
        }
}
