package io.kumquattrail.decision.delivery

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.refusal.Refusal
import kotlin.time.Duration

/** Lists what a gateway reports to a [CallState]. */
sealed interface CallEvent {
    /** The call begins. */
    data object Start : CallEvent

    /**
     * The gateway has chosen [server] for [attempt] and is about to connect to its agent.
     *
     * @property incarnation the only incarnation of the agent that the attempt names as its receiver, or `null`.
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

    /** The connection for [attempt] was not made, which proves that nothing was sent. */
    data class ConnectionFailed(
        val attempt: Int,
    ) : CallEvent

    /** The stream of [attempt] ended without a final frame. */
    data class ConnectionLost(
        val attempt: Int,
    ) : CallEvent

    /** No frame of [attempt] has arrived for the time that [CallAction.SendAttempt] gave. */
    data class AttemptTimedOut(
        val attempt: Int,
    ) : CallEvent

    /** A frame has arrived. */
    class FrameArrived(
        val frame: Frame,
    ) : CallEvent

    /** The gateway itself refuses the call, for example because of a limit. */
    data class RefusedLocally(
        val refusal: Refusal,
    ) : CallEvent

    /** The key's owner has answered a release; [ticketRound] is `null` when the key is not voided. */
    data class ReleaseAnswered(
        val ticketRound: Int?,
    ) : CallEvent

    /** No answer to a release has arrived. */
    data object ReleaseFailed : CallEvent

    /** The call's deadline has passed. */
    data object DeadlinePassed : CallEvent

    /** The caller has closed its connection. */
    data object CallerGone : CallEvent
}

/** Lists what a [CallState] asks of the gateway. */
sealed interface CallAction {
    /**
     * Sends an attempt.
     *
     * @property owner the only server to which the attempt may be sent, or `null` for a choice of the gateway.
     * @property excluded servers that have failed this call.
     * @property round round of the call's key.
     * @property resumeAfterTokens tokens that the caller already has.
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

    /** Tells the agent that nobody waits for [attempt] any more. */
    data class CancelAttempt(
        val attempt: Int,
    ) : CallAction

    /** Asks the key's owner to void the key; the gateway reports the answer or its absence. */
    data class ReleaseKey(
        val owner: ServerName,
        val round: Int,
    ) : CallAction

    /** Writes to the caller. */
    class Write(
        val output: Output,
    ) : CallAction

    /** Ends the caller's complete answer. */
    data object Finish : CallAction

    /** Answers with [refusal]. */
    data class Refuse(
        val refusal: Refusal,
    ) : CallAction

    /** Breaks off an answer that has begun, such that the caller sees that it is incomplete, and states [refusal]. */
    data class BreakOff(
        val refusal: Refusal,
    ) : CallAction
}
