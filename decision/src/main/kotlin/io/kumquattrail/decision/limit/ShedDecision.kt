package io.kumquattrail.decision.limit

import kotlin.time.Duration

/** Says whether a request goes on to the servers. */
sealed interface ShedDecision {
    /** The request goes on. */
    data object Admitted : ShedDecision

    /** The request is refused and has not run; a new request has a better chance after [retryAfter]. */
    data class Shed(
        val retryAfter: Duration,
    ) : ShedDecision
}
