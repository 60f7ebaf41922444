package io.kumquattrail.forward.call

/**
 * Names the headers that forwarding reads and sets. The names belong to the protocol of the deployment and come from
 * its adapter.
 *
 * @property requestId id of a caller's request, repeated by the server that answers it.
 * @property remainingTime time that the sender will still wait, in milliseconds.
 * @property organisation name of the organisation on whose behalf a request runs.
 * @property expectedServer name of the server that a request is meant for; any other server refuses it.
 * @property notRun marks a response that says that the request has not run and will not run.
 * @property signature a server's mark on its response, which callers check.
 * @property lastEvent id of the last event of a stream that the caller has.
 * @property urgency rank of a request at a model engine; 0 is first.
 * @property authorisation carries the caller's key.
 * @property authorisationScheme word before the key.
 * @property tokenCount tokens of a request's prompt and, after a comma, the most that it may generate.
 * @property faultyServer address of the server that made another one fail.
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
)
