package io.kumquattrail.forward.call

/**
 * Names of the headers that the gateway reads and sets. They belong to the protocol of the deployment and come from its
 * adapter.
 *
 * @property requestId id of a caller's request, which the server repeats in its response.
 * @property remainingTime time that the sender will still wait, in milliseconds.
 * @property organisation name of the organisation on whose behalf a request runs.
 * @property expectedServer name of the server that a request is meant for; any other server refuses it.
 * @property notRun marks a response to a request that has not run and will not run.
 * @property signature the server's signature on its response, which callers check.
 * @property lastEvent id of the last event of a stream that the caller has received.
 * @property urgency priority of a request at a model engine; 0 is the highest.
 * @property authorisation carries the caller's key.
 * @property authorisationScheme authentication scheme that precedes the key.
 * @property tokenCount number of tokens in a request's prompt and, after a comma, the maximum that it may generate.
 * @property promptParts parts of a request's prompt in order, as comma-separated `ID:TOKENS` entries. Requests share parts;
 *   the last one belongs to the request or its session.
 * @property faultyServer address of the server whose failure made another one refuse the request.
 * @property rateLimit requests per second that a server takes from all gateways together.
 */
data class ForwardingHeaders(
    val requestId: String,
    val remainingTime: String,
    val organisation: String,
    val expectedServer: String,
    val notRun: String,
    val signature: String,
    val lastEvent: String,
    val urgency: String,
    val authorisation: String,
    val authorisationScheme: String,
    val faultyServer: String,
    val tokenCount: String,
    val promptParts: String,
    val rateLimit: String,
)
