package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.identity.GroupName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * The newest formation of one group, as far as its ranks have reported it.
 *
 * @property epoch number of the formation.
 * @property ranks states of the ranks that work in this formation, by rank.
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
         * Sorts [states] into the groups that they name.
         *
         * Load pattern: a service grows by further groups, each with ranks 0, 1, 2 of its own that work in lockstep. A
         * failed rank stops its group only, so each group is kept by itself.
         */
        fun of(states: Collection<RankState>): List<GroupFormation> =
            states.groupBy { it.group }.map { (group, members) -> newest(group, members) }

        private fun newest(
            group: GroupName,
            members: List<RankState>,
        ): GroupFormation {
            // Servers that have left still report the formation in which they were.
            val epoch = members.maxOf { it.epoch }
            val ranks = members.filter { it.isOpen && it.epoch == epoch }.sortedBy { it.rank }
            val size = ranks.firstOrNull()?.size ?: 0
            return GroupFormation(
                group = group,
                epoch = epoch,
                ranks = ranks.toImmutableList(),
                isComplete = size > 0 && ranks.map { it.rank } == (0 until size).toList(),
            )
        }
    }
}
