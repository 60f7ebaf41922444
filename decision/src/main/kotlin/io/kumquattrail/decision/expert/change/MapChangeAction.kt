package io.kumquattrail.decision.expert.change

/** Is carried out by the agent on behalf of its [MapChangeCoordinator]. */
sealed interface MapChangeAction {
    /** Sends [request] to the agent of [rank], which may be this agent itself. */
    data class Send(
        val rank: Int,
        val request: MapRequest,
    ) : MapChangeAction

    /** States that a change that this coordinator was asked for has ended. */
    data class Ended(
        val outcome: MapChangeOutcome,
    ) : MapChangeAction

    /** States that all ranks use [head] and that no change is pending. */
    data class Settled(
        val head: CommittedMap?,
    ) : MapChangeAction
}

/** Says how a change ended. */
sealed interface MapChangeOutcome {
    /** Every rank knows that [map] is committed. */
    data class Committed(
        val map: CommittedMap,
    ) : MapChangeOutcome

    /** The map does not take effect. */
    data class Aborted(
        val reason: MapChangeAbortReason,
    ) : MapChangeOutcome

    /** Another coordinator took over; the map may or may not take effect, which the next round finds out. */
    data object Unknown : MapChangeOutcome
}

/** Says why a change did not take effect. */
sealed interface MapChangeAbortReason {
    /** The group does not use the map that the change was planned from. */
    data class OtherBase(
        val head: CommittedMap?,
    ) : MapChangeAbortReason

    /** [rank] refused to take part. */
    data class Refused(
        val rank: Int,
        val refusal: MapRefusal,
    ) : MapChangeAbortReason

    /** The named ranks did not load the weights, or did not answer, in time. */
    data class TimedOut(
        val ranks: List<Int>,
    ) : MapChangeAbortReason

    /** The coordinator handles another change, or is not the group's coordinator. */
    data object Busy : MapChangeAbortReason
}
