package io.kumquattrail.decision.delivery

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.refusal.Refusal
import kotlin.time.Duration

/** Event that a gateway reports to a [CallState]. */
sealed interface CallEvent {
    /** The gateway has accepted the call and is ready to send its first attempt. */
    data object Start : CallEvent

    /**
     * The gateway has chosen [server] for [attempt] and is about to connect to its agent.
     *
     * @property incarnation the only incarnation of the agent that may accept the attempt, or `null` if any may.
     */
    data class ServerChosen(
        val attempt: Int,
        val server: ServerName,
        val incarnation: Incarnation? = null,
    ) : CallEvent

    /** No server is available for [attempt]. */
    data class NoServer(
        val attempt: Int,
    ) : CallEvent

    /** No connection was established for [attempt], which proves that nothing was sent. */
    data class ConnectionFailed(
        val attempt: Int,
    ) : CallEvent

    /** The stream of [attempt] ended without a final frame. */
    data class ConnectionLost(
        val attempt: Int,
    ) : CallEvent

    /** No frame of [attempt] has arrived within [CallAction.SendAttempt.silence]. */
    data class AttemptTimedOut(
        val attempt: Int,
    ) : CallEvent

    /** [frame] has arrived; it may be a duplicate, or belong to an earlier attempt. */
    class FrameArrived(
        val frame: Frame,
    ) : CallEvent

    /** The gateway itself refuses the call, for example because of a limit. */
    data class RefusedLocally(
        val refusal: Refusal,
    ) : CallEvent

    /**
     * The key's owner has responded to a release.
     *
     * @property ticketRound round of the ticket with which a request with the key may run, or `null` if the key was not
     *   voided.
     */
    data class ReleaseAnswered(
        val ticketRound: Int?,
    ) : CallEvent

    /** No response to a release has arrived from the key's owner. */
    data object ReleaseFailed : CallEvent

    /** The time at [Call.deadline] has passed without a complete response. */
    data object DeadlinePassed : CallEvent

    /** The caller has closed its connection. */
    data object CallerDisconnected : CallEvent
}

/** Action that a [CallState] requests from the gateway. */
sealed interface CallAction {
    /**
     * Sends an attempt.
     *
     * @property owner the only server to which the attempt may be sent, or `null` if the gateway chooses one.
     * @property excluded servers on which an attempt of this call has failed.
     * @property round round of the call's key, or 0 without a key.
     * @property resumeAfterTokens number of tokens that the caller has already received.
     * @property delay time to wait before sending.
     * @property silence time without a frame after which the gateway reports [CallEvent.AttemptTimedOut].
     */
    data class SendAttempt(
        val attempt: Int,
        val owner: ServerName? = null,
        val excluded: Set<ServerName> = emptySet(),
        val round: Int = 0,
        val resumeAfterTokens: Int = 0,
        val delay: Duration = Duration.ZERO,
        val silence: Duration,
    ) : CallAction

    /** Notifies the agent that the response to [attempt] is no longer needed. */
    data class CancelAttempt(
        val attempt: Int,
    ) : CallAction

    /**
     * Asks the key's owner to void the key.
     *
     * The gateway reports [CallEvent.ReleaseAnswered] or [CallEvent.ReleaseFailed].
     */
    data class ReleaseKey(
        val owner: ServerName,
        val round: Int,
    ) : CallAction

    /** Writes [output] to the caller. */
    class Write(
        val output: Output,
    ) : CallAction

    /** Ends the response to the caller, which is complete. */
    data object Finish : CallAction

    /** Responds to the caller with [refusal]. */
    data class Refuse(
        val refusal: Refusal,
    ) : CallAction

    /** Aborts a response that has started, so that the caller detects that it is incomplete, and reports [refusal]. */
    data class AbortResponse(
        val refusal: Refusal,
    ) : CallAction
}
