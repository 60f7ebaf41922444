package io.kumquattrail.decision.admission

import io.kumquattrail.decision.refusal.RefusalReason
import kotlin.time.Duration

/** Lists what an agent has to do after an [AdmissionEvent]. */
sealed interface AdmissionAction {
    /** Prepare sending [item]; directly before it is sent, [AdmissionController.recheck] has to allow it. */
    data class Start(
        val item: WorkItem,
    ) : AdmissionAction

    /** Answer [item] as not run; it was not sent to the server and never will be in this attempt. */
    data class HandBack(
        val item: WorkItem,
        val cause: HandBackCause,
        val retryAfter: Duration? = null,
    ) : AdmissionAction {
        /** Reason for the caller if no other server takes the work. */
        val reason: RefusalReason get() = cause.reason
    }

    /** Close the call that repeats [id] without stating a run state, since the first call with [id] may run. */
    data class CloseDuplicate(
        val id: WorkId,
    ) : AdmissionAction

    /** Read the server's incarnation and running work, then report [AdmissionEvent.ServerObserved]. */
    data object ReadServer : AdmissionAction

    /** Compare the records with a peer, then report [AdmissionEvent.RecordsConfirmed]. */
    data object ConfirmRecords : AdmissionAction

    /** Note in the timeline that the server is considered cold. */
    data class NoteCold(
        val sign: ColdSign,
    ) : AdmissionAction

    /** Note that no work is in progress and none will start, so the process may stop. */
    data object NoteDrained : AdmissionAction
}

/**
 * Lists why work is handed back as not run.
 *
 * @property reason reason for the caller if no other server takes the work.
 */
enum class HandBackCause(
    val reason: RefusalReason,
) {
    NOT_PUBLISHED(RefusalReason.NOT_READY),
    DRAINING(RefusalReason.NO_SERVER_AVAILABLE),
    OTHER_INCARNATION(RefusalReason.NO_SERVER_AVAILABLE),
    EXPIRED(RefusalReason.DEADLINE_EXCEEDED),
    QUEUE_FULL(RefusalReason.OVERLOADED),
    SHED(RefusalReason.OVERLOADED),
    SERVER_COLD(RefusalReason.OVERLOADED),
    TOO_LARGE(RefusalReason.REQUEST_TOO_LARGE),
    SERVER_UNREACHABLE(RefusalReason.NO_SERVER_AVAILABLE),
    SEND_DELAYED(RefusalReason.OVERLOADED),
}

/** Says whether granted work may be sent at this moment. */
sealed interface SendDecision {
    /** Send the work now, over a connection opened to the run [serverIncarnation] of the server. */
    data class Send(
        val serverIncarnation: String,
    ) : SendDecision

    /** Do not send the work; [actions] hand it back and may start other work. */
    data class Denied(
        val actions: List<AdmissionAction>,
    ) : SendDecision

    /** Do nothing: the work was sent, handed back or withdrawn before. */
    data object NotGranted : SendDecision
}
