package io.kumquattrail.decision.expert.change

/** Action that the agent carries out for its [MapChangeCoordinator]. */
sealed interface MapChangeAction {
    /** Sends [request] to the agent of [rank], which may be this agent itself. */
    data class Send(
        val rank: Int,
        val request: MapRequest,
    ) : MapChangeAction

    /** Reports that the change passed to [MapChangeCoordinator.propose] has ended with [outcome]. */
    data class Ended(
        val outcome: MapChangeOutcome,
    ) : MapChangeAction

    /** Reports that all ranks use [head] and that no change is pending. */
    data class Settled(
        val head: CommittedMap?,
    ) : MapChangeAction
}

/** Outcome of a change. */
sealed interface MapChangeOutcome {
    /** Every rank has acknowledged the commit of [map]. */
    data class Committed(
        val map: CommittedMap,
    ) : MapChangeOutcome

    /** The proposed map does not take effect. */
    data class Aborted(
        val reason: MapChangeAbortReason,
    ) : MapChangeOutcome

    /** The coordinator stopped or has to start over; whether the map takes effect is determined by the next round. */
    data object Unknown : MapChangeOutcome
}

/** Reason why a change did not take effect. */
sealed interface MapChangeAbortReason {
    /** The group uses [head] and not the map that the change was planned from. */
    data class BaseMismatch(
        val head: CommittedMap?,
    ) : MapChangeAbortReason

    /** [rank] refused a request of the change, or lost the prepared map. */
    data class Refused(
        val rank: Int,
        val refusal: MapRefusal,
    ) : MapChangeAbortReason

    /** [ranks] did not load the weights or did not answer before the timeout. */
    data class TimedOut(
        val ranks: List<Int>,
    ) : MapChangeAbortReason

    /** The coordinator is not active, or is in a round, another change or a back-off pause. */
    data object Busy : MapChangeAbortReason
}
