package io.kumquattrail.forward.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * A request with its complete body.
 *
 * @property target path with query, as it stands on the request line.
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

/** The body of a message without one. */
val EMPTY_BODY: ByteArray = ByteArray(0)

private val CONNECTION_HEADERS =
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

/** Returns the headers that concern more than one connection. The length of a body is set anew for each connection. */
fun HttpHeaders.endToEnd(): HttpHeaders {
    val named = getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }
    val result = DefaultHttpHeaders()
    iteratorAsString().forEach { (name, value) ->
        val lower = name.lowercase()
        if (lower !in CONNECTION_HEADERS && lower !in named) result.add(name, value)
    }
    return result
}
