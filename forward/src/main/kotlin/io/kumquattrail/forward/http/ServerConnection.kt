package io.kumquattrail.forward.http

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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A part of a response, in the order in which a connection delivers them. */
sealed interface ResponsePart {
    /** Status line and headers. */
    class Head(
        val status: Int,
        val headers: HttpHeadersView,
    ) : ResponsePart

    /** Bytes of the body. */
    class Body(
        val bytes: ByteArray,
    ) : ResponsePart

    /** The response is complete. */
    data object End : ResponsePart

    /**
     * The response ended early; nothing follows.
     *
     * @property connectionLost whether the connection ended without the gateway's doing.
     */
    data class Broken(
        val reason: String,
        val connectionLost: Boolean = false,
    ) : ResponsePart
}

/** Headers as the HTTP library holds them. */
typealias HttpHeadersView = io.netty.handler.codec.http.HttpHeaders

// Responses to other requests that one exchange skips. A server sends one extra response for a request at most.
private const val MAXIMUM_SKIPPED_RESPONSES = 4

/**
 * Delivers the parts of one response, and has the connection read on as they are taken.
 *
 * A caller of [next] that stops waiting loses no part, so it can go on later. A channel does not promise that.
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

    /** Waits for the next part; nothing follows an end or a broken part. */
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
 * A connection to a backend server or to the platform, with at most one request at a time. It is used on its event loop
 * only.
 *
 * A response that carries another request's id belongs to an earlier request and is skipped. A response without an id
 * may be a late copy of an earlier one, so it counts only as the first of its connection. Bytes that arrive while no
 * request waits, also behind a complete response, belong to no request, and the connection is not used again.
 *
 * @property requestIdHeader header in which a server repeats the id of the request that it answers; `null` when
 *   responses carry no id.
 */
class ServerConnection(
    private val requestIdHeader: String?,
    private val limits: ResponseLimits = ResponseLimits(),
) : SimpleChannelInboundHandler<HttpObject>() {
    private val decoder = ResponseDecoder()
    private lateinit var context: ChannelHandlerContext
    private var parts: ResponseParts? = null
    private var expectedId: String? = null
    private var writeComplete = true
    private var keepOpen = false
    private var skipping = false
    private var skipped = 0
    private var skippedBytes = 0
    private var interimHeads = 0
    private var inBody = false
    private var hasAnswered = false
    private var undecodedBytes = 0
    private var unreadBytes = 0

    /** Time at which the last response was complete. */
    var idleSince: MonotonicTime = ProcessClock.monotonic()
        private set

    /** Time for which the server keeps the idle connection open, if it has said so. */
    var keepAlive: Duration? = null
        private set

    /** Whether another request may be sent. */
    val isReusable: Boolean get() = parts == null && keepOpen && writeComplete && context.channel().isActive

    /** Sends [message]; the returned channel delivers the response and ends with [ResponsePart.End] or `Broken`. */
    fun send(
        message: HttpMessage,
        requestId: String?,
    ): ResponseParts {
        check(parts == null) { "a connection serves one request at a time" }
        val responseParts = ResponseParts(onTaken = ::taken)
        parts = responseParts
        expectedId = requestId
        keepOpen = false
        skipped = 0
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
            if (result.isSuccess) writeComplete = true else lost("write failed: ${result.cause()?.message}")
        }
        return responseParts
    }

    /** Adds the handlers of a connection to [pipeline]. */
    fun addTo(pipeline: ChannelPipeline) {
        pipeline.addLast(HttpRequestEncoder(), ByteCounter(), decoder, this)
    }

    /** Closes the connection; a response that is still due is broken off. */
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
        if (message.decoderResult().isFailure) return broken("response is not HTTP")
        undecodedBytes = 0
        if (message is HttpResponse) onHead(message)
        if (message is HttpContent && inBody) onContent(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) = lost("connection closed")

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) = lost("connection failed: ${cause.message}")

    private fun onHead(response: HttpResponse) {
        val receiver = parts ?: return broken("bytes without a request")
        if (response.status().code() in INFORMATIONAL) {
            interimHeads += 1
            if (interimHeads > limits.interimHeads) broken("too many informational responses")
            return
        }
        inBody = true
        val id = requestIdHeader?.let { response.headers().get(it) }
        if (hasAnswered && requestIdHeader != null && expectedId != null && id == null) {
            return broken("response without the request's id on a connection that was used before")
        }
        skipping = id != null && expectedId != null && id != expectedId
        if (skipping) {
            skipped += 1
            if (skipped > MAXIMUM_SKIPPED_RESPONSES) broken("too many responses to other requests")
            return
        }
        keepOpen = HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        keepAlive = keepAliveOf(response)
        receiver.add(ResponsePart.Head(status = response.status().code(), headers = response.headers()))
    }

    private fun onContent(content: HttpContent) {
        val receiver = parts
        val size = content.content().readableBytes()
        if (skipping) {
            skippedBytes += size
            if (skippedBytes > limits.skippedBytes) return broken("response to another request is too long")
        } else if (receiver != null && size > 0) {
            receiver.add(ResponsePart.Body(ByteBufUtil.getBytes(content.content())))
            unreadBytes += size
            if (unreadBytes > limits.unreadBytes) context.channel().config().isAutoRead = false
        }
        if (content !is LastHttpContent) return
        inBody = false
        if (skipping) {
            skipping = false
            return
        }
        parts = null
        hasAnswered = true
        idleSince = ProcessClock.monotonic()
        receiver?.add(ResponsePart.End)
        context.channel().config().isAutoRead = true
        // What follows a complete response would be read as the start of the next one.
        if (decoder.undecodedBytes > 0) keepOpen = false
        if (!keepOpen) context.close()
    }

    private fun taken(count: Int) {
        unreadBytes -= count
        if (unreadBytes <= limits.unreadBytes) context.channel().config().isAutoRead = true
    }

    private fun received(count: Int) {
        if (parts == null) return broken("bytes without a request")
        undecodedBytes += count
        if (undecodedBytes > limits.headBytes) broken("no response in $undecodedBytes bytes")
    }

    private fun lost(reason: String) = broken(reason, connectionLost = true)

    private fun broken(
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

    /** Counts bytes as they arrive, as the decoder shows nothing of those that are no part of a message. */
    private inner class ByteCounter : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (message is ByteBuf) received(message.readableBytes())
            super.channelRead(context, message)
        }
    }

    /** Tells how many bytes it keeps that are no part of what it has decoded. */
    private class ResponseDecoder : HttpResponseDecoder(MAXIMUM_LINE_BYTES, MAXIMUM_HEAD_BYTES, MAXIMUM_CHUNK_BYTES) {
        val undecodedBytes: Int get() = actualReadableBytes()
    }

    private companion object {
        val INFORMATIONAL = 100..199

        /** The connection's own limits for what it decodes, in bytes. Responses have short heads. */
        const val MAXIMUM_LINE_BYTES = 8_192
        const val MAXIMUM_HEAD_BYTES = 65_536
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
