package io.kumquattrail.decision.expert

import io.kumquattrail.decision.record.GroupRecord

/**
 * Describes the dimensions of a group that placement depends on.
 *
 * @property slotsPerRank number of experts per layer that fit into one rank's memory.
 * @property expertBytes size of one expert's weights in one layer, in bytes.
 * @property ranksPerNode number of consecutive ranks on one VM.
 */
data class GroupShape(
    val ranks: Int,
    val layers: Int,
    val experts: Int,
    val slotsPerRank: Int,
    val expertBytes: Long,
    val ranksPerNode: Int = 8,
) {
    /** Number of slots per layer, over all ranks. */
    val slots: Int get() = ranks * slotsPerRank

    companion object {
        /** Returns the shape of the group that [record] describes. */
        fun of(record: GroupRecord): GroupShape =
            GroupShape(
                ranks = record.ranks.size,
                layers = record.layers,
                experts = record.experts,
                slotsPerRank = record.expertsPerRank,
                expertBytes = record.expertBytes,
                ranksPerNode = record.ranksPerNode,
            )
    }
}
