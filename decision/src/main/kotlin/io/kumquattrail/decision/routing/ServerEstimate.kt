package io.kumquattrail.decision.routing

import io.kumquattrail.decision.time.MonotonicTime

/** Holds what [TokenCostRouting] estimates about one server. */
internal class ServerEstimate(
    val state: ServerState,
) {
    /** Tokens of this gateway's requests in flight. */
    var ownTokens = 0L

    /** Prompt tokens of this gateway's requests that have no first token yet. */
    var ownPromptTokens = 0L

    /** Load by other gateways at the last report, as a share of the token limit. */
    var otherLoad = 0.0

    /** Waiting prompt tokens of other gateways at the last report. */
    var otherPromptTokens = 0.0

    /** Time between tokens over the mean of all servers, from reports. */
    var reportedSlowness = 1.0

    /** Time to first token over the prediction, from this gateway's requests. */
    var observedSlowness = 1.0
    var lastChosenAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** Decision in which [cachedTokens] holds, and the prompt tokens that the server probably has cached. */
    var cachedTokensDecision = -1L
    var cachedTokens = 0

    /** What the last report added to the zone's sums. */
    var capacity = 0.0
    var load = 0.0

    val tokenLimit: Double get() = (state.report?.tokenLimit ?: 0L).coerceAtLeast(MINIMUM_TOKEN_LIMIT).toDouble()

    /** Share of its full capacity that the server offers; less than 1 in cold start. */
    val warmth: Double
        get() = (state.concurrencyLimit.toDouble() / state.target.warmConcurrency.coerceAtLeast(1)).coerceAtMost(1.0)

    private companion object {
        const val MINIMUM_TOKEN_LIMIT = 1_024L
    }
}
