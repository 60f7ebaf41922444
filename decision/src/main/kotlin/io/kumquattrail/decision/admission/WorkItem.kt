package io.kumquattrail.decision.admission

import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.time.MonotonicTime

/** Identifies one attempt of one request; answers of other attempts never match it. */
data class WorkId(
    val requestId: String,
    val attempt: Int,
)

/**
 * Holds the cost of a request in tokens.
 *
 * @property promptTokens tokens of the prompt that are not in the server's prefix cache.
 * @property outputTokens expected number of output tokens.
 */
data class TokenCost(
    val promptTokens: Int,
    val outputTokens: Int,
) {
    /** All tokens that the request holds in a server's memory at its end. */
    val total: Int get() = promptTokens + outputTokens
}

/**
 * Describes work that waits for admission to a backend server.
 *
 * @property organisationWeight published weight of the organisation, at least 1.
 * @property priority higher values are served first and shed last.
 * @property deadline time on this process's clock after which the caller no longer waits.
 * @property fingerprint identifies the request's content over all senders.
 * @property runAlone whether no other request may run on the server meanwhile.
 */
data class WorkItem(
    val id: WorkId,
    val organisation: OrganisationName,
    val cost: TokenCost,
    val deadline: MonotonicTime,
    val organisationWeight: Int = 1,
    val priority: Int = 0,
    val fingerprint: String = "",
    val runAlone: Boolean = false,
)
