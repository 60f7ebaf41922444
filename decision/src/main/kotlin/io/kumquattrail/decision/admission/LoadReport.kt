package io.kumquattrail.decision.admission

import io.kumquattrail.decision.identity.Incarnation

/**
 * Describes the load of a backend server as its agent knows it.
 *
 * @property running requests in flight, with those that the server still runs for an earlier agent.
 * @property queued requests that wait at the agent.
 * @property queuedTokens tokens of the requests that wait at the agent.
 * @property tokensInFlight prompt and expected output tokens of the requests in flight.
 * @property promptTokensWaiting prompt tokens of queued and running requests that have no first token yet.
 * @property millisecondsPerToken smoothed time between output tokens; 0 when unknown.
 * @property firstTokenMilliseconds smoothed time to first token; 0 when unknown.
 * @property cold whether the limits are below those of the warm server.
 * @property revision revision of the records that the agent acts on.
 */
data class LoadReport(
    val running: Int,
    val queued: Int,
    val queuedTokens: Long,
    val concurrencyLimit: Int,
    val tokensInFlight: Long,
    val tokenLimit: Long,
    val millisecondsPerToken: Double,
    val firstTokenMilliseconds: Double,
    val cold: Boolean,
    val draining: Boolean,
    val incarnation: Incarnation,
    val revision: Long,
    val promptTokensWaiting: Long = 0,
)
