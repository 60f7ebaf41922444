package io.kumquattrail.measure.limit

/**
 * Holds the result of one [LimitSimulation].
 *
 * @property shareErrorMean mean over organisations of the difference from the ideal share, relative to that share.
 * @property starved organisations that got less than a tenth of their ideal share.
 * @property goodput tokens a second of complete responses within the callers' deadlines.
 * @property quotaError difference between granted and permitted tokens over permitted tokens.
 * @property quotaExcess the part of [quotaError] above the limits.
 * @property quotaBytesPerSecond bytes of quota messages a second that a gateway sends and receives.
 */
internal data class LimitOutcome(
    val shareErrorMean: Double,
    val shareErrorP99: Double,
    val starved: Int,
    val goodput: Double,
    val goodputOfCapacity: Double,
    val shedLowPriorityFirst: Boolean,
    val quotaError: Double,
    val quotaExcess: Double,
    val quotaBytesPerSecond: Double,
)
