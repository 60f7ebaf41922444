package io.kumquattrail.measure.limit

/**
 * Holds the result of one [QuotaSimulation].
 *
 * @property error difference between granted and permitted tokens over permitted tokens, over all organisations.
 * @property excess the part of [error] above the limits.
 * @property worstExcess greatest excess of one of the largest organisations over its limit in any window of 10 s.
 * @property refusedBelowLimit share of the tokens of organisations below their limits that was refused.
 * @property bytesPerSecond bytes of quota messages a second that a gateway sends and receives.
 */
internal data class QuotaOutcome(
    val error: Double,
    val excess: Double,
    val worstExcess: Double,
    val refusedBelowLimit: Double,
    val bytesPerSecond: Double,
)
