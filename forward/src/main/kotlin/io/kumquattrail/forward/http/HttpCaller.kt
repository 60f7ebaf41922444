package io.kumquattrail.forward.http

import kotlinx.coroutines.withTimeoutOrNull
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
    /**
     * Sends [message] to [address] and returns the response, or why there is none within [timeout].
     *
     * @param onNewConnection uses a connection that has had no request before. Responses of some servers carry no id of
     *   their request, so only there no late copy of another response can stand in for the response.
     */
    suspend fun call(
        address: NetworkAddress,
        message: HttpMessage,
        timeout: Duration,
        onNewConnection: Boolean = false,
    ): CallResult {
        var used: ServerConnection? = null
        var answered = false
        try {
            return withTimeoutOrNull(timeout) {
                val connection =
                    pool.acquire(
                        address,
                        connectTimeout = timeout,
                        maximumIdle = if (onNewConnection) Duration.ZERO else Duration.INFINITE,
                    ) ?: return@withTimeoutOrNull CallResult.Failed("no connection")
                used = connection
                message.headers.set("Host", address.toString())
                receive(connection.send(message, requestId = null)).also { answered = it is CallResult.Answered }
            } ?: CallResult.Failed("no answer within $timeout")
        } finally {
            used?.let { if (answered && !onNewConnection) pool.release(address, it) else it.close() }
        }
    }

    private suspend fun receive(parts: ResponseParts): CallResult = pool.collected.Body().use { receive(parts, it) }

    private suspend fun receive(
        parts: ResponseParts,
        body: CollectedBytes.Body,
    ): CallResult {
        var head: ResponsePart.Head? = null
        while (true) {
            when (val part = parts.next()) {
                is ResponsePart.Head -> {
                    head = part
                }

                is ResponsePart.Body -> {
                    if (!body.add(part.bytes)) return CallResult.Failed("response is too long")
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
    }
}
