package io.kumquattrail.decision.limit

import kotlin.time.Duration

/** Says whether a request is within its organisation's published limit. */
sealed interface QuotaDecision {
    /** The request may go on; its estimated cost is charged. */
    data object Granted : QuotaDecision

    /** The request exceeds the limit and nothing is charged; a new request may be granted after [retryAfter]. */
    data class Refused(
        val retryAfter: Duration,
    ) : QuotaDecision
}
