package io.kumquattrail.forward.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * A request with its complete body.
 *
 * @property target path with query, as on the request line.
 */
class HttpMessage(
    val method: String,
    val target: String,
    val headers: HttpHeaders = DefaultHttpHeaders(),
    val body: ByteArray = EMPTY_BODY,
)

/** A response with its complete body. */
class HttpReply(
    val status: Int,
    val headers: HttpHeaders = DefaultHttpHeaders(),
    val body: ByteArray = EMPTY_BODY,
)

/** The body of a message that has none. */
val EMPTY_BODY: ByteArray = ByteArray(0)

private val HOP_BY_HOP_HEADERS =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )

/**
 * Returns the end-to-end headers, without those of a single connection. Each connection sets the body length itself.
 */
fun HttpHeaders.endToEnd(): HttpHeaders {
    val listedInConnection = getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }
    val result = DefaultHttpHeaders()
    iteratorAsString().forEach { (name, value) ->
        val lowercaseName = name.lowercase()
        if (lowercaseName !in HOP_BY_HOP_HEADERS && lowercaseName !in listedInConnection) result.add(name, value)
    }
    return result
}
