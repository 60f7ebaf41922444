package io.kumquattrail.decision.expert.popularity

/**
 * Counts the tokens that one rank routed in a range of steps.
 *
 * @property firstStep first step of the range.
 * @property lastStep last step of the range, inclusive.
 * @property tokens number of tokens by layer and expert.
 */
class ExpertLoadReport(
    val rank: Int,
    val firstStep: Long,
    val lastStep: Long,
    val tokens: List<DoubleArray>,
)
