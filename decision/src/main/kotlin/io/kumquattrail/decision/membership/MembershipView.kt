package io.kumquattrail.decision.membership

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.concurrent.Volatile

/**
 * Holds what one process believes about the others. One thread at a time changes the view; any thread may read
 * [members].
 *
 * Nothing but routing and the choice of peers depends on it.
 */
class MembershipView(
    val self: ProcessName,
) {
    /** All other processes by name. */
    @Volatile
    var members: PersistentMap<ProcessName, Member> = persistentMapOf()
        private set

    /** Members that are neither leaving nor suspected nor dead. */
    val alive: List<Member> get() = members.values.filter { it.state == MemberState.ALIVE }

    /** Returns the state of [process], or `null` when it is unknown. */
    fun state(process: ProcessName): MemberState? = members[process]?.state

    /**
     * Takes over the published list.
     *
     * A member that is no longer listed stays while [answersItself] says that it answers this process, as the list lags.
     */
    fun listChanged(
        listed: Collection<ListedProcess>,
        answersItself: (ProcessName) -> Boolean = { false },
    ): List<MemberChange> =
        buildList {
            val builder = members.builder()
            val names = HashSet<ProcessName>(2 * listed.size)
            listed.forEach { line ->
                if (line.process == self) return@forEach
                names += line.process
                val known = builder[line.process]
                val member = known.listedAs(line)
                if (member != known) {
                    builder[line.process] = member
                    if (member.state != known?.state) add(MemberChange(member, known?.state, ChangeCause.LISTED))
                }
            }
            members.values.filter { it.isListed && it.process !in names }.forEach { member ->
                if (answersItself(member.process)) {
                    builder[member.process] = member.copy(isListed = false, isListedLeaving = false)
                } else {
                    builder.remove(member.process)
                    val gone = member.copy(state = MemberState.DEAD, isListed = false)
                    add(MemberChange(gone, member.state, ChangeCause.REMOVED_FROM_LIST))
                }
            }
            members = builder.build()
        }

    /** Takes over [update] when it overrides what is known; returns the change, or `null` when nothing new was told. */
    fun merge(
        update: MemberUpdate,
        cause: ChangeCause = ChangeCause.TOLD_BY_PEER,
    ): MemberChange? {
        if (update.process == self) return null
        val known = members[update.process]
        if (known != null && !overrides(update, known)) return null
        if (known == null && update.state == MemberState.DEAD) return null
        val member =
            (known ?: Member(MemberIdentity(update.process, zone = null))).copy(
                incarnation = update.incarnation ?: known?.incarnation,
                counter = maxOf(update.counter, known?.counter ?: 0),
                state = update.state,
            )
        members = members.put(update.process, member)
        return MemberChange(member, known?.state, cause)
    }

    /** Takes in that [process] itself was heard from; returns the change, or `null` when it was believed alive. */
    fun heardFrom(
        process: ProcessName,
        incarnation: Incarnation,
        counter: Long,
        zone: ZoneName?,
    ): MemberChange? {
        if (process == self) return null
        val known = members[process]
        if (known != null && counter < known.counter && incarnation != known.incarnation) return null
        // A message that was under way when its sender died must not bring a dead member back: the member, if it lives,
        // is told of the verdict and raises its counter.
        val state =
            when (known?.state) {
                null, MemberState.ALIVE, MemberState.SUSPECTED -> {
                    MemberState.ALIVE
                }

                MemberState.LEAVING -> {
                    if (known.isListedLeaving || incarnation == known.incarnation) known.state else MemberState.ALIVE
                }

                MemberState.DEAD -> {
                    if (counter <= known.counter) known.state else MemberState.ALIVE
                }
            }
        val member =
            (known ?: Member(MemberIdentity(process, zone))).copy(
                incarnation = incarnation,
                counter = maxOf(counter, known?.counter ?: 0),
                state = state,
            )
        if (member == known) return null
        members = members.put(process, member)
        return if (member.state == known?.state) null else MemberChange(member, known?.state, ChangeCause.ANSWERED)
    }

    /** Sets the state of [process] as this process decided it; returns the change, or `null` when there is none. */
    fun decide(
        process: ProcessName,
        state: MemberState,
        cause: ChangeCause,
    ): MemberChange? {
        val known = members[process] ?: return null
        if (known.state == state) return null
        val member = known.copy(state = state)
        members = members.put(process, member)
        return MemberChange(member, known.state, cause)
    }

    private fun Member?.listedAs(line: ListedProcess): Member {
        val known = this ?: Member(MemberIdentity(line.process, line.zone))
        val isReturned = known.isListedLeaving && !line.isLeaving && known.state == MemberState.LEAVING
        val state = if (isReturned) MemberState.ALIVE else known.state
        return known.copy(
            identity =
                if (known.identity.zone ==
                    line.zone
                ) {
                    known.identity
                } else {
                    MemberIdentity(line.process, line.zone)
                },
            state = if (line.isLeaving) maxOf(state, MemberState.LEAVING) else state,
            isListed = true,
            isListedLeaving = line.isLeaving,
        )
    }

    // A sender that never heard from the process speaks of whichever incarnation runs; that one can refute it.
    private fun overrides(
        update: MemberUpdate,
        known: Member,
    ): Boolean =
        when {
            update.incarnation == null -> update.state > known.state
            update.counter != known.counter -> update.counter > known.counter
            else -> update.state > known.state
        }
}
