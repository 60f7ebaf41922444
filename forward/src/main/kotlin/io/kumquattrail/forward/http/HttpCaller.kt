package io.kumquattrail.forward.http

import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** Says how a short call ended. */
sealed interface CallResult {
    /** The complete response arrived. */
    data class Answered(
        val reply: HttpReply,
    ) : CallResult

    /** No complete response arrived. */
    data class Failed(
        val reason: String,
    ) : CallResult
}

/** Makes short calls whose whole response is needed, over the connections of [pool]. */
class HttpCaller(
    private val pool: ServerConnectionPool,
) {
    /** Sends [message] to [address] and returns the response, or why there is none within [timeout]. */
    suspend fun call(
        address: NetworkAddress,
        message: HttpMessage,
        timeout: Duration,
    ): CallResult {
        var used: ServerConnection? = null
        var answered = false
        try {
            return withTimeoutOrNull(timeout) {
                val connection =
                    pool.acquire(address, connectTimeout = timeout)
                        ?: return@withTimeoutOrNull CallResult.Failed("no connection")
                used = connection
                message.headers.set("Host", address.toString())
                receive(connection.send(message, requestId = null)).also { answered = it is CallResult.Answered }
            } ?: CallResult.Failed("no answer within $timeout")
        } finally {
            used?.let { if (answered) pool.release(address, it) else it.close() }
        }
    }

    private suspend fun receive(parts: ReceiveChannel<ResponsePart>): CallResult {
        var head: ResponsePart.Head? = null
        val body = ByteArrayOutputStream()
        for (part in parts) {
            when (part) {
                is ResponsePart.Head -> {
                    head = part
                }

                is ResponsePart.Body -> {
                    body.write(part.bytes)
                }

                is ResponsePart.Broken -> {
                    return CallResult.Failed(part.reason)
                }

                ResponsePart.End -> {
                    val complete = head ?: return CallResult.Failed("no head")
                    return CallResult.Answered(HttpReply(complete.status, complete.headers, body.toByteArray()))
                }
            }
        }
        return CallResult.Failed("connection closed")
    }
}
