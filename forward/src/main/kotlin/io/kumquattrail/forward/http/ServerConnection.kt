package io.kumquattrail.forward.http

import io.kumquattrail.decision.http.ResponseSyntax
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.process.ProcessClock
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A part of a response; a connection delivers the parts in order. */
sealed interface ResponsePart {
    /**
     * Status line and headers.
     *
     * @property namesRequest whether the response carries the id of the request.
     */
    class Head(
        val status: Int,
        val headers: HttpHeadersView,
        val namesRequest: Boolean,
    ) : ResponsePart

    /** Bytes of the body. */
    class Body(
        val bytes: ByteArray,
    ) : ResponsePart

    /**
     * The response is complete, as far as the protocol shows.
     *
     * @property endsWithConnection whether the response has neither a length nor chunks, so that the end of a connection
     *   whose server has crashed looks the same.
     */
    data class End(
        val endsWithConnection: Boolean,
    ) : ResponsePart

    /**
     * The response ended early; nothing follows.
     *
     * @property connectionLost whether the connection was lost and not closed by the gateway.
     */
    data class Broken(
        val reason: String,
        val connectionLost: Boolean = false,
    ) : ResponsePart
}

/** Headers in the form of the HTTP library. */
typealias HttpHeadersView = io.netty.handler.codec.http.HttpHeaders

// Number of responses to other requests that one exchange skips. A server sends at most one extra response per request.
private const val MAXIMUM_SKIPPED_RESPONSES = 4

/**
 * Delivers the parts of one response; the connection continues to read from the server as parts are taken.
 *
 * If a call of [next] is cancelled, no part is lost, and a later call returns it. A coroutine channel does not
 * guarantee that.
 */
class ResponseParts internal constructor(
    private val onTaken: (Int) -> Unit,
) {
    private val parts = ArrayDeque<ResponsePart>()
    private var arrival = CompletableDeferred<Unit>()

    internal fun add(part: ResponsePart) {
        parts.addLast(part)
        arrival.complete(Unit)
    }

    /** Waits for the next part and returns it; no part follows [ResponsePart.End] or [ResponsePart.Broken]. */
    suspend fun next(): ResponsePart {
        while (parts.isEmpty()) {
            arrival = CompletableDeferred()
            arrival.await()
        }
        val part = parts.removeFirst()
        if (part is ResponsePart.Body) onTaken(part.bytes.size)
        return part
    }
}

/**
 * A connection to a backend server or to the platform, with at most one request at a time. Must be used on its event
 * loop only.
 *
 * A response with another request's id belongs to an earlier request and is skipped. A response without an id may be a
 * late copy of an earlier one, so it is accepted only as the first response on its connection. A request without an id
 * should therefore be sent on a new connection. Bytes that arrive while
 * no request is in progress, including those after a complete response, belong to no request, and the connection is not
 * reused. A response that HTTP does not allow is broken off and proves nothing about the request.
 *
 * @property requestIdHeader header in which a server repeats the id of the request in its response; `null` if responses
 *   carry no id.
 */
class ServerConnection(
    private val requestIdHeader: String?,
    private val limits: ResponseLimits = ResponseLimits(),
) : SimpleChannelInboundHandler<HttpObject>() {
    private val decoder = ResponseDecoder()
    private lateinit var context: ChannelHandlerContext
    private var parts: ResponseParts? = null
    private var expectedId: String? = null
    private val recentIds = ArrayDeque<String>(RECENT_IDS)
    private var writeComplete = true
    private var keepOpen = false
    private var skippingResponse = false
    private var skippedResponses = 0
    private var skippedBytes = 0
    private var interimHeads = 0
    private var inBody = false
    private var endsWithConnection = false
    private var hasResponded = false
    private var undecodedBytes = 0
    private var unreadBytes = 0

    /** Number of requests that have been sent. */
    var requestCount = 0
        private set

    /** Port of the gateway's end, which identifies the connection among those that are open. */
    val localPort: Int get() = (context.channel().localAddress() as? InetSocketAddress)?.port ?: 0

    /** Time at which the last response was completed. */
    var idleSince: MonotonicTime = ProcessClock.monotonic()
        private set

    /** Time for which the server keeps the idle connection open; `null` if it has not stated it. */
    var keepAlive: Duration? = null
        private set

    /** Whether another request may be sent. */
    val isReusable: Boolean get() = parts == null && keepOpen && writeComplete && context.channel().isActive

    /**
     * Sends [message] and returns the parts of the response, which end with [ResponsePart.End] or
     * [ResponsePart.Broken].
     */
    fun send(
        message: HttpMessage,
        requestId: String?,
    ): ResponseParts {
        check(parts == null) { "a connection serves one request at a time" }
        val responseParts = ResponseParts(onTaken = ::onBytesTaken)
        parts = responseParts
        expectedId = requestId
        requestCount += 1
        if (requestId != null) {
            if (recentIds.size == RECENT_IDS) recentIds.removeFirst()
            recentIds.addLast(requestId)
        }
        keepOpen = false
        skippedResponses = 0
        skippedBytes = 0
        interimHeads = 0
        undecodedBytes = 0
        unreadBytes = 0
        writeComplete = false
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(message.method),
                message.target,
                Unpooled.wrappedBuffer(message.body),
            )
        request.headers().add(message.headers)
        if (message.body.isNotEmpty() || message.method != "GET") {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.body.size)
        }
        context.writeAndFlush(request).addListener { result ->
            if (result.isSuccess) writeComplete = true else onConnectionLost("write failed: ${result.cause()?.message}")
        }
        return responseParts
    }

    /**
     * Returns whether one of the last requests on this connection had the id [requestId]. A late copy of the response to
     * it could not be told from the response to another request with that id.
     */
    fun hasCarried(requestId: String): Boolean = requestId in recentIds

    /** Adds the handlers of a connection to [pipeline]. */
    fun addTo(pipeline: ChannelPipeline) {
        pipeline.addLast(HttpRequestEncoder(), ByteCheck(), decoder, this)
    }

    /** Closes the connection, and ends the response in progress as broken off because of [reason]. */
    fun withdraw(reason: String) = breakOff(reason)

    /** Closes the connection without delivering the rest of a response in progress. */
    fun close() {
        parts = null
        context.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (message.decoderResult().isFailure) return breakOff("response is not HTTP")
        undecodedBytes = 0
        if (message is HttpResponse) onHead(message)
        if (message is HttpContent && inBody) onContent(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) = onConnectionLost("connection closed")

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) = onConnectionLost("connection failed: ${cause.message}")

    private fun onHead(response: HttpResponse) {
        val receiver = parts ?: return breakOff("bytes without a request")
        if (response.status().code() in INFORMATIONAL) {
            interimHeads += 1
            if (interimHeads > limits.interimHeads) breakOff("too many informational responses")
            return
        }
        inBody = true
        val id = requestIdHeader?.let { response.headers().get(it) }
        if (hasResponded && requestIdHeader != null && expectedId != null && id == null) {
            return breakOff("response without the request's id on a connection that was used before")
        }
        skippingResponse = id != null && expectedId != null && id != expectedId
        if (skippingResponse) {
            skippedResponses += 1
            hasResponded = true
            if (skippedResponses > MAXIMUM_SKIPPED_RESPONSES) breakOff("too many responses to other requests")
            return
        }
        endsWithConnection =
            !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response) &&
            response.status().code() !in STATUSES_WITHOUT_BODY
        keepOpen = HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        keepAlive = keepAliveOf(response)
        receiver.add(
            ResponsePart.Head(
                status = response.status().code(),
                headers = response.headers(),
                namesRequest = id != null && id == expectedId,
            ),
        )
    }

    private fun onContent(content: HttpContent) {
        val receiver = parts
        val size = content.content().readableBytes()
        if (skippingResponse) {
            skippedBytes += size
            if (skippedBytes > limits.skippedBytes) return breakOff("response to another request is too long")
        } else if (receiver != null && size > 0) {
            receiver.add(ResponsePart.Body(ByteBufUtil.getBytes(content.content())))
            unreadBytes += size
            if (unreadBytes > limits.unreadBytes) context.channel().config().isAutoRead = false
        }
        if (content !is LastHttpContent) return
        inBody = false
        if (skippingResponse) {
            skippingResponse = false
            return
        }
        parts = null
        hasResponded = true
        idleSince = ProcessClock.monotonic()
        receiver?.add(ResponsePart.End(endsWithConnection))
        context.channel().config().isAutoRead = true
        // Bytes after a complete response would be read as the start of the next one.
        if (decoder.undecodedBytes > 0) keepOpen = false
        if (!keepOpen) context.close()
    }

    private fun onBytesTaken(count: Int) {
        unreadBytes -= count
        if (unreadBytes <= limits.unreadBytes) context.channel().config().isAutoRead = true
    }

    private fun onBytesReceived(count: Int) {
        if (parts == null) return breakOff("bytes without a request")
        undecodedBytes += count
        if (undecodedBytes > limits.headBytes) breakOff("no response in $undecodedBytes bytes")
    }

    private fun onConnectionLost(reason: String) = breakOff(reason, connectionLost = true)

    private fun breakOff(
        reason: String,
        connectionLost: Boolean = false,
    ) {
        keepOpen = false
        inBody = false
        val receiver = parts
        parts = null
        receiver?.add(ResponsePart.Broken(reason, connectionLost))
        context.close()
    }

    private fun keepAliveOf(response: HttpResponse): Duration? =
        response
            .headers()
            .get(HttpHeaderValues.KEEP_ALIVE)
            ?.split(',')
            ?.map { it.trim() }
            ?.firstOrNull { it.startsWith("timeout=", ignoreCase = true) }
            ?.substringAfter('=')
            ?.toIntOrNull()
            ?.seconds

    /**
     * Counts and checks bytes as they arrive. The decoder does not report those that are not part of a complete message,
     * and accepts some that HTTP does not allow.
     */
    private inner class ByteCheck : ChannelInboundHandlerAdapter() {
        private val syntax = ResponseSyntax()

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (message !is ByteBuf) return super.channelRead(context, message)
            onBytesReceived(message.readableBytes())
            val fault = syntax.read(message.readableBytes()) { message.getByte(message.readerIndex() + it) }
            // The bytes before the fault may complete a response.
            if (fault != null) message.writerIndex(message.readerIndex() + fault.soundBytes)
            super.channelRead(context, message)
            if (fault != null) breakOff(fault.reason)
        }
    }

    /** Exposes the number of received bytes that are not decoded yet. */
    private class ResponseDecoder : HttpResponseDecoder(MAXIMUM_LINE_BYTES, MAXIMUM_HEAD_BYTES, MAXIMUM_CHUNK_BYTES) {
        val undecodedBytes: Int get() = actualReadableBytes()
    }

    private companion object {
        val INFORMATIONAL = 100..199

        /** Ids that a connection remembers. A copy comes with one of the next responses. */
        const val RECENT_IDS = 16

        /** Statuses of responses that have no body, whatever their headers say. */
        val STATUSES_WITHOUT_BODY = setOf(204, 304)

        /** Limits of the decoder, in bytes. Responses have short heads. */
        const val MAXIMUM_LINE_BYTES = 8_192
        const val MAXIMUM_HEAD_BYTES = 65_536
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
