package io.kumquattrail.decision.routing

import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration

/** Says where a request goes. */
sealed interface RoutingDecision {
    /** Send the request as [assignment] says. */
    data class Chosen(
        val assignment: Assignment,
    ) : RoutingDecision

    /** No server may receive the request now; one may after [retryAfter]. */
    data class NoServer(
        val retryAfter: Duration,
    ) : RoutingDecision
}

/**
 * Assigns an attempt of a request to a server. It counts as in flight until its end is reported to the policy.
 *
 * @property cost tokens, less the prefix that the server is believed to have cached.
 * @property cachedTokens prompt tokens that the server is believed to have cached.
 */
class Assignment(
    val server: ServerName,
    val cost: TokenCost,
    val cachedTokens: Int,
    val sentAt: MonotonicTime,
) {
    internal var prefix: List<PrefixBlock> = emptyList()
    internal var firstTokenAt: MonotonicTime? = null
    internal var expectedPromptTokens: Double = 0.0
}

/** Says how an assignment ended. */
sealed interface AssignmentEnd {
    /** The complete response arrived. */
    data object Completed : AssignmentEnd

    /** The agent handed the work back; it may take work again after [retryAfter]. */
    data class NotRun(
        val retryAfter: Duration?,
    ) : AssignmentEnd

    /** The caller or the gateway stopped the request. */
    data object Cancelled : AssignmentEnd

    /** The stream broke or the agent could not be reached. */
    data object Broken : AssignmentEnd
}
