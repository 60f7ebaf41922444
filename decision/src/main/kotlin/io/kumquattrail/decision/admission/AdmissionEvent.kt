package io.kumquattrail.decision.admission

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime

/** Lists what an agent tells its [AdmissionController]. */
sealed interface AdmissionEvent {
    /**
     * Work arrived from a gateway.
     *
     * @property expectedIncarnation incarnation of the agent that the gateway means, or `null` for any.
     */
    data class WorkArrived(
        val item: WorkItem,
        val expectedIncarnation: Incarnation? = null,
    ) : AdmissionEvent

    /** The caller went away before the work was sent; cancelling sent work is reported as [WorkEnded]. */
    data class WorkWithdrawn(
        val id: WorkId,
    ) : AdmissionEvent

    /** The server produced the first token, or the first byte of a plain response. */
    data class FirstToken(
        val id: WorkId,
    ) : AdmissionEvent

    /** The server has produced [outputTokens] tokens for the work so far. */
    data class OutputProgress(
        val id: WorkId,
        val outputTokens: Int,
    ) : AdmissionEvent

    /** No connection was made for work that [AdmissionController.recheck] allowed, so it has not run. */
    data class NotConnected(
        val id: WorkId,
    ) : AdmissionEvent

    /** The work that was sent ended. */
    data class WorkEnded(
        val id: WorkId,
        val outcome: WorkOutcome,
    ) : AdmissionEvent

    /**
     * The agent read the server's own state.
     *
     * @property incarnation identifies this run of the server; it differs after a restart.
     * @property running requests that the server says it runs or holds, for any sender.
     * @property tokens tokens of those requests, or `null` when the server does not report them.
     * @property readStartedAt time on this process's clock at which the read was sent.
     */
    data class ServerObserved(
        val incarnation: String,
        val running: Int,
        val tokens: Long?,
        val readStartedAt: MonotonicTime,
    ) : AdmissionEvent

    /** A connection to the server was reset or refused, so the server may have restarted. */
    data object ConnectionReset : AdmissionEvent

    /**
     * The records in effect describe the server as follows.
     *
     * @property inService whether server, availability zone and VM are all in service.
     */
    data class RecordsChanged(
        val limits: ServerLimits,
        val inService: Boolean,
        val revision: Long,
    ) : AdmissionEvent

    /** A peer confirmed after the last [AdmissionAction.ConfirmRecords] that the records in effect are current. */
    data object RecordsConfirmed : AdmissionEvent

    /**
     * Time passed.
     *
     * It has to arrive at least every 250 ms: a longer interval without any event is taken as a pause of the process.
     */
    data object Tick : AdmissionEvent
}

/** Says how sent work ended. */
enum class WorkOutcome {
    /** The server gave a complete response. */
    COMPLETED,

    /** The server gave an error. */
    FAILED,

    /** The agent stopped waiting for the response; the server may still run the work. */
    CANCELLED,

    /** The connection broke; the server may have restarted or may still run the work. */
    BROKEN,
}
