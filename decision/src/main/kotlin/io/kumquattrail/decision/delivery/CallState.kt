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
 * Idempotency key of a call, with the server that owns it.
 *
 * @property owner server that owns the key; a call without a known owner is refused before a [CallState] is created.
 * @property round round of the caller's ticket, or 0 without a ticket.
 */
data class KeyedCall(
    val key: IdempotencyKey,
    val owner: ServerName,
    val round: Int = 0,
)

/**
 * Call as it arrived at a gateway.
 *
 * @property silence time without a frame after which an attempt is considered timed out.
 */
data class Call(
    val requestId: String,
    val kind: WorkKind,
    val deadline: MonotonicTime,
    val keyed: KeyedCall? = null,
    val silence: Duration = 5.seconds,
)

/**
 * Decides the attempts of one call until its response is complete or it is refused with a correct [RunState].
 *
 * Frames of other requests and of other attempts than the one in flight are ignored. Of another incarnation, only a
 * [FrameContent.NotRun] has an effect. An instance must be used by one thread at a time.
 */
class CallState(
    private val call: Call,
    private val policy: RetryPolicy,
    limits: AssemblyLimits = AssemblyLimits(),
) {
    init {
        require((call.kind == WorkKind.KEYED) == (call.keyed != null)) { "a call has a key if and only if it is keyed" }
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

    /** Whether the call has ended. From then on, events have no effect and the gateway drops delayed attempts. */
    var ended: Boolean = false
        private set

    /** Processes [event] and returns the actions that the gateway must perform, in order. */
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
                ifCurrent(event.attempt) { refuseWithoutServer() }
            }

            is CallEvent.ConnectionFailed -> {
                ifCurrent(event.attempt) { handleFailedAttempt(AttemptOutcome.ConnectionFailed, now) }
            }

            is CallEvent.ConnectionLost -> {
                ifCurrent(event.attempt) { handleLostAttempt("The connection to the server was lost.", now) }
            }

            is CallEvent.AttemptTimedOut -> {
                ifCurrent(event.attempt) { handleTimedOutAttempt(now) }
            }

            is CallEvent.FrameArrived -> {
                handleFrame(event.frame, now)
            }

            is CallEvent.RefusedLocally -> {
                refuseLocally(event.refusal)
            }

            CallEvent.ReleaseFailed, is CallEvent.ReleaseAnswered -> {
                emptyList()
            }

            CallEvent.DeadlinePassed -> {
                handlePassedDeadline()
            }

            CallEvent.CallerDisconnected -> {
                ended = true
                cancellation()
            }
        }

    private fun handleWhileReleasing(event: CallEvent): List<CallAction> =
        when (event) {
            is CallEvent.ReleaseAnswered -> {
                finishRelease(event.ticketRound)
            }

            CallEvent.ReleaseFailed, CallEvent.DeadlinePassed -> {
                finishRelease(ticketRound = null)
            }

            CallEvent.CallerDisconnected -> {
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

    private fun handleFrame(
        frame: Frame,
        now: MonotonicTime,
    ): List<CallAction> {
        if (frame.requestId != call.requestId || !isCurrent(frame.attempt)) return emptyList()
        val expectedIncarnation = incarnation ?: frame.incarnation.also { incarnation = it }
        val fromExpected = frame.incarnation == expectedIncarnation
        return when (val content = frame.content) {
            is FrameContent.NotRun -> handleNotRun(content, fromExpected, now)
            is FrameContent.Broken -> if (fromExpected) handleLostAttempt(content.detail, now) else emptyList()
            is FrameContent.Started -> if (fromExpected) handleResult(assembler.accept(content), now) else emptyList()
            is FrameContent.Chunk -> if (fromExpected) handleResult(assembler.accept(content), now) else emptyList()
            is FrameContent.Finished -> if (fromExpected) handleResult(assembler.accept(content), now) else emptyList()
        }
    }

    private fun handleNotRun(
        content: FrameContent.NotRun,
        fromExpected: Boolean,
        now: MonotonicTime,
    ): List<CallAction> {
        // Another incarnation cannot prove that the one to which the attempt was sent has not run it. `mayHaveRun` has
        // no effect on keyed calls: their run state depends on the key owner's guarantee, `keyNotRun`.
        if (!fromExpected) mayHaveRun = true
        if (!fromExpected && call.kind == WorkKind.SINGLE) {
            return handleLostAttempt("The server's agent has restarted.", now)
        }
        retryAfter = content.retryAfter
        return handleFailedAttempt(AttemptOutcome.NotRun(content), now)
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

    private fun handleResult(
        result: AssemblyResult,
        now: MonotonicTime,
    ): List<CallAction> =
        when (result) {
            is AssemblyResult.Failed -> {
                result.output.map { CallAction.Write(it) } + cancellation() + handleLostAttempt(result.detail, now)
            }

            is AssemblyResult.Progress -> {
                val writes = result.output.map { CallAction.Write(it) }
                if (result.complete) ended = true
                if (result.complete) writes + CallAction.Finish else writes
            }
        }

    private fun handleTimedOutAttempt(now: MonotonicTime): List<CallAction> =
        when (call.kind) {
            // The call must not be sent again, so it waits for the response until its deadline.
            WorkKind.SINGLE -> {
                emptyList()
            }

            WorkKind.KEYED, WorkKind.REPEATABLE -> {
                cancellation() + handleLostAttempt("The server did not answer in time.", now)
            }
        }

    private fun handleLostAttempt(
        detail: String,
        now: MonotonicTime,
    ): List<CallAction> {
        mayHaveRun = true
        return handleFailedAttempt(AttemptOutcome.Lost(detail), now)
    }

    private fun handleFailedAttempt(
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

    private fun refuseWithoutServer(): List<CallAction> {
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

    private fun handlePassedDeadline(): List<CallAction> {
        val actions = cancellation()
        val refusal =
            Refusal(
                reason = RefusalReason.DEADLINE_EXCEEDED,
                runState = runState(),
                detail = "The call did not finish before its deadline.",
            )
        return actions + refuse(refusal)
    }

    /** Returns the run state that can be stated without a confirmation from the key's owner. */
    private fun runState(): RunState {
        val provedNotRun = call.kind != WorkKind.KEYED && !mayHaveRun && !attemptInFlight
        return if (provedNotRun) RunState.NO else RunState.UNKNOWN
    }

    private fun refuseLocally(refusal: Refusal): List<CallAction> {
        val cancellation = cancellation()
        val keyed = call.keyed ?: return cancellation + refuse(refusal.copy(runState = runState()))
        // Until its owner has voided the key, an earlier attempt with it, sent through any gateway, may still run.
        attemptInFlight = false
        pendingRefusal = refusal
        return listOf(CallAction.ReleaseKey(owner = keyed.owner, round = round))
    }

    private fun finishRelease(ticketRound: Int?): List<CallAction> {
        val runState = if (ticketRound == null) RunState.UNKNOWN else RunState.NO
        return pendingRefusal?.let { refuse(it.copy(runState = runState), ticketRound) }.orEmpty()
    }

    private fun refuse(
        refusal: Refusal,
        ticketRound: Int? = null,
    ): List<CallAction> {
        ended = true
        val ticket = call.keyed?.let { keyed -> ticketRound?.let { Ticket(key = keyed.key, round = it).toString() } }
        val withTicket = refusal.copy(ticket = ticket)
        return listOf(
            if (assembler.isHeadWritten) CallAction.AbortResponse(withTicket) else CallAction.Refuse(withTicket),
        )
    }

    private fun cancellation(): List<CallAction> =
        if (attemptInFlight && call.kind == WorkKind.REPEATABLE) {
            listOf(CallAction.CancelAttempt(attempt))
        } else {
            emptyList()
        }
}
