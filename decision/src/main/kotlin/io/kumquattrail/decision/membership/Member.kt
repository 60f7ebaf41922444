package io.kumquattrail.decision.membership

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ZoneName

/** Lists the states of a member in the order in which one overrides the other. [label] is the name on the wire. */
enum class MemberState(
    val label: String,
) {
    ALIVE("alive"),
    SUSPECTED("suspected"),
    LEAVING("leaving"),
    DEAD("dead"),
    ;

    companion object {
        /** Finds the state with [label], or `null` when this program does not know it. */
        fun of(label: String): MemberState? = entries.find { it.label == label }
    }
}

/**
 * States what one process knows about another.
 *
 * @property incarnation incarnation of [process], or `null` when the sender never heard from it.
 * @property counter number that [process] raises to refute a suspicion. It starts at the process's wall time in
 *   milliseconds, so that a new incarnation at the same address overrides what is known of the one before.
 */
data class MemberUpdate(
    val process: ProcessName,
    val incarnation: Incarnation?,
    val counter: Long,
    val state: MemberState,
)

/** Holds one line of the published list of VMs. */
data class ListedProcess(
    val process: ProcessName,
    val zone: ZoneName,
    val isLeaving: Boolean = false,
)

/**
 * Describes a process as seen by another.
 *
 * @property isListed whether the published list names the process.
 * @property isListedLeaving whether the published list names the process as leaving.
 */
data class Member(
    val identity: MemberIdentity,
    val incarnation: Incarnation? = null,
    val counter: Long = 0,
    val state: MemberState = MemberState.ALIVE,
    val isListed: Boolean = false,
    val isListedLeaving: Boolean = false,
) {
    val process: ProcessName get() = identity.process

    /** Returns what is told to others about this member. */
    fun toUpdate(): MemberUpdate = MemberUpdate(process, incarnation, counter, state)
}

/** Names a process and its zone, and holds its positions on the rings by which processes watch each other. */
class MemberIdentity(
    val process: ProcessName,
    val zone: ZoneName?,
) {
    private val positions: LongArray by lazy {
        LongArray(WATCH_RINGS) { ring -> RendezvousHash.weight("watch/$ring", process.value) }
    }

    /** Returns the position on [ring]. */
    fun position(ring: Int): Long = positions[ring]

    override fun toString(): String = "$process ($zone)"

    companion object {
        /** Number of rings, and thereby of processes that watch each process. */
        const val WATCH_RINGS = 4
    }
}

/** Tells that a process's view of [member] changed from [previous]; `null` for a new member. */
data class MemberChange(
    val member: Member,
    val previous: MemberState?,
    val cause: ChangeCause,
)

/** Lists the reasons for which the view of a member changes. */
enum class ChangeCause {
    LISTED,
    REMOVED_FROM_LIST,
    TOLD_BY_PEER,
    ANSWERED,
    DID_NOT_ANSWER,
    VERDICT,
}
