package io.kumquattrail.decision.membership

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName

/** Holds a message between the failure detectors of two processes. */
sealed interface MembershipMessage {
    /** State of the sender, and updates that it passes on. */
    val header: MembershipHeader

    /** Asks the receiver for an [Answer]. */
    data class Probe(
        override val header: MembershipHeader,
    ) : MembershipMessage

    /** Answers a probe. */
    data class Answer(
        override val header: MembershipHeader,
    ) : MembershipMessage

    /** Asks the receiver to probe [target] and to report the result. */
    data class ProbeThrough(
        override val header: MembershipHeader,
        val target: ProcessName,
    ) : MembershipMessage

    /** Reports whether the sender [reached] the [target]. */
    data class ProbeThroughResult(
        override val header: MembershipHeader,
        val target: ProcessName,
        val reached: Boolean,
    ) : MembershipMessage
}

/** Describes the sender of a message and carries [updates] about others. */
data class MembershipHeader(
    val sender: ProcessName,
    val incarnation: Incarnation,
    val counter: Long,
    val zone: ZoneName?,
    val updates: List<MemberUpdate>,
)

/** Tells the process what to do for the detection of failures. */
sealed interface MembershipAction {
    /** Send [message] to [peer]. */
    data class Send(
        val peer: ProcessName,
        val message: MembershipMessage,
    ) : MembershipAction

    /** The view changed. */
    data class Changed(
        val change: MemberChange,
    ) : MembershipAction

    /**
     * A verdict about [suspect] was not given, as [silentPeers] of [peers] in the fleet or [silentZonePeers] of
     * [zonePeers] in its zone were silent too.
     */
    data class VerdictSuspended(
        val suspect: ProcessName,
        val peers: Int,
        val silentPeers: Int,
        val zonePeers: Int,
        val silentZonePeers: Int,
    ) : MembershipAction

    /** A peer suspected this process, which refuted it with [counter]. */
    data class Refuted(
        val counter: Long,
    ) : MembershipAction
}
