package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.identity.GroupName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * The latest formation of one group that its ranks have reported.
 *
 * @property epoch number of the formation.
 * @property ranks states of the ranks that report this formation as open, ordered by rank.
 * @property isComplete whether every rank of the group has reported this formation as open.
 */
data class GroupFormation(
    val group: GroupName,
    val epoch: Long,
    val ranks: ImmutableList<RankState>,
    val isComplete: Boolean,
) {
    companion object {
        /**
         * Returns the latest formation of each group that [states] name.
         *
         * Load pattern: a service grows by adding groups, each with its own ranks 0, 1, 2 that work in lockstep. A
         * failed rank stops only its own group, so each group is handled separately.
         */
        fun of(states: Collection<RankState>): List<GroupFormation> =
            states.groupBy { it.group }.map { (group, members) -> latestFormation(group, members) }

        private fun latestFormation(
            group: GroupName,
            members: List<RankState>,
        ): GroupFormation {
            // Servers that have left the group still report the formation to which they belonged.
            val epoch = members.maxOf { it.epoch }
            val ranks = members.filter { it.isOpen && it.epoch == epoch }.sortedBy { it.rank }
            val size = ranks.firstOrNull()?.size ?: 0
            return GroupFormation(
                group = group,
                epoch = epoch,
                ranks = ranks.toImmutableList(),
                isComplete = ranks.isNotEmpty() && ranks.size == size && ranks.indices.all { ranks[it].rank == it },
            )
        }
    }
}
