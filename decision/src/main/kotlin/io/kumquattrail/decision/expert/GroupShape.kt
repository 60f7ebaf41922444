package io.kumquattrail.decision.expert

import io.kumquattrail.decision.record.GroupRecord

/**
 * Holds the sizes of a group that placement depends on.
 *
 * @property slotsPerRank experts that fit into one rank's memory, a layer.
 * @property expertBytes size of one expert's weights in one layer, in bytes.
 */
data class GroupShape(
    val ranks: Int,
    val layers: Int,
    val experts: Int,
    val slotsPerRank: Int,
    val expertBytes: Long,
    val ranksPerNode: Int = 8,
) {
    /** Number of slots of all ranks in one layer. */
    val slots: Int get() = ranks * slotsPerRank

    companion object {
        /** Takes the sizes from a published record. */
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
