package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.identity.Incarnation

/**
 * Identifies a proposal of a coordinator and orders the proposals of all coordinators of a group.
 *
 * @property counter higher than every counter that the coordinator has received.
 * @property incarnation incarnation of the coordinator, which makes the numbers of any two coordinators differ.
 */
data class ProposalNumber(
    val counter: Long,
    val incarnation: Incarnation,
) : Comparable<ProposalNumber> {
    override fun compareTo(other: ProposalNumber): Int =
        compareValuesBy(this, other, ProposalNumber::counter, ProposalNumber::incarnation)

    override fun toString(): String = "$counter-$incarnation"

    companion object {
        /** Parses the format of [toString]; returns `null` for any other text. */
        fun parse(text: String): ProposalNumber? {
            val counter = text.substringBefore('-').toLongOrNull() ?: return null
            val incarnation = Incarnation.parse(text.substringAfter('-', "")) ?: return null
            return ProposalNumber(counter, incarnation)
        }
    }
}
