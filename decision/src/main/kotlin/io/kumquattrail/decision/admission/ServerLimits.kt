package io.kumquattrail.decision.admission

import io.kumquattrail.decision.record.BackendServerRecord

/**
 * Holds the published limits of a backend server.
 *
 * @property warmConcurrency requests that the warm server bears at once.
 * @property warmTokens prompt and output tokens in flight that the warm server bears.
 * @property coldConcurrency requests that the server bears at once in cold start.
 * @property coldTokens prompt and output tokens in flight that the server bears in cold start.
 */
data class ServerLimits(
    val warmConcurrency: Int,
    val warmTokens: Long,
    val coldConcurrency: Int,
    val coldTokens: Long,
)

/**
 * Returns the limits that the record publishes.
 *
 * The record has no token limit for the warm server; it scales with the concurrency, so that both limits are reached
 * after the same number of doublings.
 */
fun BackendServerRecord.limits(): ServerLimits {
    val cold = coldConcurrency.coerceIn(1, warmConcurrency.coerceAtLeast(1))
    return ServerLimits(
        warmConcurrency = warmConcurrency.coerceAtLeast(1),
        warmTokens = coldTokens.toLong() * warmConcurrency.coerceAtLeast(1) / cold,
        coldConcurrency = cold,
        coldTokens = coldTokens.toLong(),
    )
}
