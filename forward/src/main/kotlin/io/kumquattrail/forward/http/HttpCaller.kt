package io.kumquattrail.forward.http

import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** The result of a short call. */
sealed interface CallResult {
    /** The complete response was received. */
    data class Answered(
        val reply: HttpReply,
    ) : CallResult

    /** No complete response was received, or none in time if [timedOut]. */
    data class Failed(
        val reason: String,
        val timedOut: Boolean = false,
    ) : CallResult
}

/** Makes short calls whose complete response is collected, over the connections of [pool]. */
class HttpCaller(
    private val pool: ServerConnectionPool,
) {
    /**
     * Sends [message] to [address] and returns the response, or why there is none within [timeout].
     *
     * @param onNewConnection whether to use a connection that has carried no request before. Some servers do not repeat
     *   the id of the request, so on a reused connection a late copy of an earlier response could be taken for this
     *   one.
     */
    suspend fun call(
        address: NetworkAddress,
        message: HttpMessage,
        timeout: Duration,
        onNewConnection: Boolean = false,
    ): CallResult {
        var acquired: ServerConnection? = null
        var completed = false
        try {
            return withTimeoutOrNull(timeout) {
                val connection =
                    pool.acquire(
                        address,
                        connectTimeout = timeout,
                        maximumIdle = if (onNewConnection) Duration.ZERO else Duration.INFINITE,
                    ) ?: return@withTimeoutOrNull CallResult.Failed("no connection")
                acquired = connection
                message.headers.set("Host", address.toString())
                receive(connection.send(message, requestId = null)).also { completed = it is CallResult.Answered }
            } ?: CallResult.Failed("no answer within $timeout", timedOut = true)
        } finally {
            acquired?.let { if (completed && !onNewConnection) pool.release(address, it) else it.close() }
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

                is ResponsePart.End -> {
                    val complete = head ?: return CallResult.Failed("no head")
                    return CallResult.Answered(HttpReply(complete.status, complete.headers, body.toByteArray()))
                }
            }
        }
    }
}
