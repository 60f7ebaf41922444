package io.kumquattrail.decision.delivery

import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Way in which an attempt has ended without a complete response. */
sealed interface AttemptOutcome {
    /** The agent proved that the attempt did not run. */
    data class NotRun(
        val frame: FrameContent.NotRun,
    ) : AttemptOutcome

    /** No connection to the agent was established, so nothing was sent. */
    data object ConnectionFailed : AttemptOutcome

    /** The attempt was sent, or may have been, and no complete response will arrive. */
    data class Lost(
        val detail: String,
    ) : AttemptOutcome
}

/**
 * Progress of a call at the end of an attempt.
 *
 * @property attempts number of attempts so far.
 * @property round round of the key in the latest attempt.
 * @property mayHaveRun whether an attempt may have run or may still run, including the one that has just ended.
 * @property canResume whether another attempt can complete the response of which the caller may have received a part.
 */
data class CallProgress(
    val kind: WorkKind,
    val deadline: MonotonicTime,
    val attempts: Int,
    val round: Int = 0,
    val mayHaveRun: Boolean = false,
    val canResume: Boolean = true,
)

/** What a gateway does after an attempt that has ended without a complete response. */
sealed interface RetryDecision {
    /** Sends another attempt to a server on which none has failed, resuming after the tokens already written. */
    data object RetryElsewhere : RetryDecision

    /** Sends another attempt to the key's owner in [round] after [delay]. */
    data class RetryOwner(
        val round: Int,
        val delay: Duration,
    ) : RetryDecision

    /** Sends no further attempt and refuses the call with [refusal]. */
    data class Refuse(
        val refusal: Refusal,
    ) : RetryDecision
}

/**
 * Bounds the retries of one call.
 *
 * @property maximumAttempts largest number of attempts of a call without a key, which any server may run.
 * @property maximumOwnerAttempts largest number of attempts of a keyed call, which only the key's owner may run.
 * @property ownerDelay delay before the second attempt at the key's owner; it doubles with each further attempt, up to
 *   [maximumOwnerDelay].
 */
data class RetryLimits(
    val maximumAttempts: Int = 4,
    val maximumOwnerAttempts: Int = 16,
    val ownerDelay: Duration = 20.milliseconds,
    val maximumOwnerDelay: Duration = 1_000.milliseconds,
)

/**
 * Decides whether and where a gateway retries after an attempt that has ended without a complete response.
 *
 * Work that must not be repeated is never sent again after it may have run, except to the key's owner, which runs a key
 * at most once.
 */
class RetryPolicy(
    private val permission: RetryPermission,
    private val limits: RetryLimits = RetryLimits(),
) {
    /** Returns how a call continues after an attempt has ended with [outcome]. */
    fun decide(
        progress: CallProgress,
        outcome: AttemptOutcome,
        now: MonotonicTime,
    ): RetryDecision =
        when (progress.kind) {
            WorkKind.KEYED -> decideKeyed(progress, outcome, now)
            WorkKind.REPEATABLE, WorkKind.SINGLE -> decideUnkeyed(progress, outcome, now)
        }

    private fun decideUnkeyed(
        progress: CallProgress,
        outcome: AttemptOutcome,
        now: MonotonicTime,
    ): RetryDecision {
        val retryable =
            when (outcome) {
                is AttemptOutcome.NotRun -> outcome.frame.reason in RETRYABLE_ELSEWHERE
                AttemptOutcome.ConnectionFailed -> true
                is AttemptOutcome.Lost -> progress.kind == WorkKind.REPEATABLE
            }
        val retry =
            retryable &&
                progress.canResume &&
                progress.attempts < limits.maximumAttempts &&
                now < progress.deadline &&
                permission.tryAcquire(now)
        val runState = if (progress.mayHaveRun) RunState.UNKNOWN else RunState.NO
        return if (retry) RetryDecision.RetryElsewhere else RetryDecision.Refuse(refusalOf(outcome, runState))
    }

    private fun decideKeyed(
        progress: CallProgress,
        outcome: AttemptOutcome,
        now: MonotonicTime,
    ): RetryDecision {
        val nextRound =
            when (outcome) {
                is AttemptOutcome.NotRun -> nextRound(progress, outcome.frame)
                AttemptOutcome.ConnectionFailed, is AttemptOutcome.Lost -> progress.round
            }
        val delay = ownerDelay(progress.attempts, (outcome as? AttemptOutcome.NotRun)?.frame?.retryAfter)
        val retry =
            nextRound != null &&
                progress.canResume &&
                progress.attempts < limits.maximumOwnerAttempts &&
                now + delay < progress.deadline &&
                (isInProgress(outcome) || permission.tryAcquire(now))
        if (retry) return RetryDecision.RetryOwner(round = nextRound, delay = delay)
        val provedNotRun = outcome is AttemptOutcome.NotRun && outcome.frame.keyNotRun
        val refusal = refusalOf(outcome, if (provedNotRun) RunState.NO else RunState.UNKNOWN)
        return RetryDecision.Refuse(
            when (outcome) {
                is AttemptOutcome.NotRun -> refusal
                AttemptOutcome.ConnectionFailed -> refusal.copy(reason = RefusalReason.KEY_OWNER_UNREACHABLE)
                is AttemptOutcome.Lost -> refusal.copy(reason = RefusalReason.KEY_OUTCOME_UNKNOWN)
            },
        )
    }

    // Requesting the response of a run in progress again adds no work to a server, so it takes no permission.
    private fun isInProgress(outcome: AttemptOutcome): Boolean =
        outcome is AttemptOutcome.NotRun && outcome.frame.reason == RefusalReason.KEY_IN_PROGRESS

    /** Returns the round of the next attempt, or `null` if only the caller may decide whether to send it. */
    private fun nextRound(
        progress: CallProgress,
        frame: FrameContent.NotRun,
    ): Int? =
        when {
            frame.reason == RefusalReason.KEY_IN_PROGRESS -> progress.round

            // The agent refused the attempt before it reached the key table, so the round is unchanged.
            frame.reason in RETRYABLE_AT_OWNER && frame.ticketRound == null -> progress.round

            // Not retryable, or the owner has voided more rounds than the one of this attempt. Another sender was then
            // refused, and its caller may have received `run: no`; a retry with the new ticket could run that caller's
            // request after all. Only the caller may decide to use the ticket.
            frame.reason !in RETRYABLE_AT_OWNER || frame.ticketRound != progress.round + 1 -> null

            else -> frame.ticketRound
        }

    private fun ownerDelay(
        attempts: Int,
        retryAfter: Duration?,
    ): Duration {
        val doublings = (attempts - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
        val delay = minOf(limits.ownerDelay * (1 shl doublings), limits.maximumOwnerDelay)
        return maxOf(delay, retryAfter ?: Duration.ZERO)
    }

    private fun refusalOf(
        outcome: AttemptOutcome,
        runState: RunState,
    ): Refusal =
        when (outcome) {
            is AttemptOutcome.NotRun -> {
                Refusal(
                    reason = outcome.frame.reason,
                    runState = runState,
                    detail = outcome.frame.detail,
                    retryAfter = outcome.frame.retryAfter,
                )
            }

            AttemptOutcome.ConnectionFailed -> {
                Refusal(
                    reason = RefusalReason.NO_SERVER_AVAILABLE,
                    runState = runState,
                    detail = "The gateway could not connect to a server.",
                )
            }

            is AttemptOutcome.Lost -> {
                Refusal(reason = RefusalReason.SERVER_FAILED, runState = runState, detail = outcome.detail)
            }
        }

    private companion object {
        /** Keeps `1 shl doublings` within the range of `Int`. */
        const val MAXIMUM_DOUBLINGS = 20
        val RETRYABLE_AT_OWNER =
            setOf(RefusalReason.OVERLOADED, RefusalReason.NOT_READY, RefusalReason.SERVER_FAILED)
        val RETRYABLE_ELSEWHERE =
            RETRYABLE_AT_OWNER + setOf(RefusalReason.NO_SERVER_AVAILABLE, RefusalReason.SHUTTING_DOWN)
    }
}
