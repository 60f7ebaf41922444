package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.expert.ExpertMap

/**
 * Identifies the content of one expert map.
 *
 * The version is the number of the proposal that introduced the map. Proposal numbers contain 128 random bits, so no
 * version is used for two contents, even if all agents restart and the counters start again at 0. Maps take effect in
 * the order of their versions.
 */
@JvmInline
value class MapVersion(
    val proposal: ProposalNumber,
) : Comparable<MapVersion> {
    override fun compareTo(other: MapVersion): Int = proposal.compareTo(other.proposal)

    override fun toString(): String = proposal.toString()

    companion object {
        /** Parses the format of [toString]; returns `null` for any other text. */
        fun parse(text: String): MapVersion? = ProposalNumber.parse(text)?.let(::MapVersion)
    }
}

/** Holds the content of a map together with its version. */
data class VersionedMap(
    val version: MapVersion,
    val map: ExpertMap,
)

/** States that the group uses map [version] from [firstStep] on, until the next committed map takes effect. */
data class CommittedMap(
    val version: MapVersion,
    val firstStep: Long,
)
