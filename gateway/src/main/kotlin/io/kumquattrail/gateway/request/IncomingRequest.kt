package io.kumquattrail.gateway.request

/**
 * Holds a caller's HTTP request as it arrived.
 *
 * @property path path with query, starting with `/`.
 * @property headers header values by lower-case name.
 */
class IncomingRequest(
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: ByteArray,
)
