package io.kumquattrail.forward.http

import io.kumquattrail.decision.route.CallerLimits
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.process.ProcessClock
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** Handles the complete requests of callers. */
fun interface CallerRequestHandler {
    /** Responds to [exchange]; the coroutine is cancelled when the caller disconnects. */
    suspend fun handle(exchange: CallerExchange)
}

/** State that the connections of one listener share. Must be used on one event loop only. */
class CallerListenerState(
    val scope: CoroutineScope,
    val handler: CallerRequestHandler,
    val limits: () -> CallerLimits,
) {
    /** Open connections. */
    val connections = LinkedHashSet<CallerConnection>()

    /** Whether responses announce that their connection will be closed. */
    var closeAfterResponse = false

    /** Closes the connections on which no request is being read or handled and no response sent. */
    fun closeIdle() = connections.filter { it.isIdle }.forEach { it.close() }

    /** Number of connections on which a request is being read or handled, or a response sent. */
    val requestsInProgress: Int get() = connections.count { !it.isIdle }
}

/** A connection from a caller. Its requests are handled one at a time, in the order of arrival. */
class CallerConnection(
    private val state: CallerListenerState,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var context: ChannelHandlerContext
    private val pipelined = ArrayDeque<PipelinedRequest>()
    private var requestHead: HttpRequest? = null
    private val body = ByteArrayOutputStream()
    private var handlerJob: Job? = null
    private var rejected = false
    private var lastActivity = ProcessClock.monotonic()
    private var headStartedAt: MonotonicTime? = null
    private var headBytes = 0

    /** Complete responses of which a part waits because the caller reads slowly. */
    private var responsesBeingSent = 0
    private var writable = CompletableDeferred<Unit>()

    /** Whether a request is being handled. */
    val isHandling: Boolean get() = handlerJob != null

    /** Whether no request, nor a part of its head, is being read, none is being handled and no response being sent. */
    val isIdle: Boolean
        get() = handlerJob == null && requestHead == null && headStartedAt == null && responsesBeingSent == 0

    /**
     * Closes the connection if it has been idle, or the caller has been sending one head, for longer than [limits]
     * allow.
     */
    fun closeIfExpired(
        now: MonotonicTime,
        limits: CallerLimits,
    ) {
        if (isHandling || rejected) return
        val headIsOverdue = headStartedAt?.let { now - it > limits.headerTimeout } ?: false
        if (headIsOverdue) return reject(HttpResponseStatus.REQUEST_TIMEOUT)
        if (now - lastActivity > limits.idleTimeout) context.close()
    }

    /** Adds the handlers of a connection to [pipeline]. */
    fun addTo(
        pipeline: ChannelPipeline,
        decoder: HttpRequestDecoder,
    ) {
        pipeline.addLast(HeadMonitor(), decoder, HttpResponseEncoder(), this)
    }

    /** Closes the connection. */
    fun close() {
        context.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        state.connections.add(this)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        state.connections.remove(this)
        pipelined.clear()
        handlerJob?.cancel()
        writable.complete(Unit)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) {
            writable.complete(Unit)
            writable = CompletableDeferred()
        }
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        // The caller reset the connection; channelInactive follows and cancels the request in progress.
        context.close()
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: HttpObject,
    ) {
        lastActivity = ProcessClock.monotonic()
        if (rejected) return
        if (message.decoderResult().isFailure) return reject(statusOf(message.decoderResult().cause()))
        if (message is HttpRequest) onHead(message)
        if (message is HttpContent && requestHead != null) onContent(message)
    }

    private fun onHead(request: HttpRequest) {
        val headers = request.headers()
        if (sizeOf(request) > state.limits().headerBytes) {
            return reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        // If a head gives the length twice, two parsers may disagree on where the body ends (request smuggling).
        val ambiguous =
            headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (ambiguous) return reject(HttpResponseStatus.BAD_REQUEST)
        if (HttpUtil.getContentLength(request, 0L) > state.limits().bodyBytes) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        requestHead = request
        headStartedAt = null
        headBytes = 0
        body.reset()
    }

    private fun onContent(content: HttpContent) {
        val request = requestHead ?: return
        val bytes = content.content()
        if (bytes.isReadable) {
            if (body.size() + bytes.readableBytes() > state.limits().bodyBytes) {
                return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            }
            bytes.readBytes(body, bytes.readableBytes())
        }
        if (content !is LastHttpContent) return
        requestHead = null
        val complete =
            HttpMessage(
                method = request.method().name(),
                target = request.uri(),
                headers = request.headers(),
                body = if (body.size() == 0) EMPTY_BODY else body.toByteArray(),
            )
        val next = PipelinedRequest(message = complete, keepAlive = HttpUtil.isKeepAlive(request))
        if (handlerJob == null) startHandler(next) else pipelined.addLast(next)
        // Stops reading from a caller that pipelines requests without waiting for responses, which bounds the memory
        // used.
        if (pipelined.size >= MAXIMUM_PIPELINED) context.channel().config().isAutoRead = false
    }

    private fun sizeOf(head: HttpRequest): Int =
        head.method().name().length + head.uri().length +
            head.headers().iteratorAsString().asSequence().sumOf { (name, value) ->
                name.length + value.length +
                    HEADER_SEPARATOR_BYTES
            }

    private fun statusOf(failure: Throwable?): HttpResponseStatus =
        when (failure) {
            is TooLongHttpHeaderException, is TooLongHttpLineException -> {
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            }

            else -> {
                HttpResponseStatus.BAD_REQUEST
            }
        }

    private fun reject(status: HttpResponseStatus) {
        rejected = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response
            .headers()
            .set(
                HttpHeaderNames.CONTENT_LENGTH,
                0,
            ).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun startHandler(next: PipelinedRequest) {
        val exchange =
            CallerExchange(
                context = context,
                request = next.message,
                arrived = next.arrived,
                keepAlive = next.keepAlive,
            )
        val job =
            state.scope.launch(start = CoroutineStart.LAZY) {
                state.handler.handle(exchange)
            }
        handlerJob = job
        job.invokeOnCompletion { failure -> onHandlerFinished(exchange, failure) }
        job.start()
    }

    private fun onHandlerFinished(
        exchange: CallerExchange,
        failure: Throwable?,
    ) {
        handlerJob = null
        lastActivity = ProcessClock.monotonic()
        if (failure != null || !exchange.isComplete) {
            context.close()
            return
        }
        pipelined.removeFirstOrNull()?.let(::startHandler)
        if (pipelined.size < MAXIMUM_PIPELINED) context.channel().config().isAutoRead = true
    }

    /** Measures the time and size of a request head while it arrives, as the decoder reports only complete heads. */
    private inner class HeadMonitor : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (requestHead == null && headStartedAt == null) headStartedAt = ProcessClock.monotonic()
            val bytes = (message as? ByteBuf)?.readableBytes() ?: 0
            super.channelRead(context, message)
            if (headStartedAt == null || rejected) return
            headBytes += bytes
            if (headBytes > state.limits().headerBytes) reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
    }

    private class PipelinedRequest(
        val message: HttpMessage,
        val keepAlive: Boolean,
        val arrived: MonotonicTime = ProcessClock.monotonic(),
    )

    /** A request and the means to respond to it. */
    inner class CallerExchange(
        private val context: ChannelHandlerContext,
        val request: HttpMessage,
        val arrived: MonotonicTime,
        private val keepAlive: Boolean,
    ) {
        private var started = false

        /** Whether the complete response has been handed to the connection. */
        var isComplete = false
            private set

        /** Whether the head of the response has been sent. */
        val isStarted: Boolean get() = started

        /** Sends a complete response. */
        fun respond(reply: HttpReply) {
            started = true
            val response =
                DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status),
                    Unpooled.wrappedBuffer(reply.body),
                )
            response.headers().add(reply.headers)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body.size)
            finish(response)
        }

        /** Sends the head of a response whose body follows in parts. */
        fun start(
            status: Int,
            headers: HttpHeadersView,
        ) {
            started = true
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            response.headers().add(headers)
            HttpUtil.setTransferEncodingChunked(response, true)
            announceClose(response)
            context.writeAndFlush(response)
        }

        /**
         * Sends a part of the body, and suspends while too many bytes are still unsent because the caller reads slowly.
         */
        suspend fun sendBodyPart(bytes: ByteArray) {
            context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            while (!context.channel().isWritable && context.channel().isActive) writable.await()
        }

        /** Ends the body and thereby completes the response. */
        fun end() = finish(DefaultLastHttpContent())

        /** Closes the connection before the response is complete, so that the caller does not take it for complete. */
        fun abort() {
            context.close()
        }

        private var closesAfterResponse = false

        private fun announceClose(response: HttpResponse) {
            closesAfterResponse = !keepAlive || state.closeAfterResponse
            if (closesAfterResponse) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun finish(last: HttpObject) {
            if (last is HttpResponse) announceClose(last)
            isComplete = true
            responsesBeingSent += 1
            val written: ChannelFuture = context.writeAndFlush(last)
            written.addListener { responsesBeingSent -= 1 }
            if (closesAfterResponse) written.addListener(ChannelFutureListener.CLOSE)
        }
    }
}

// Bytes of a header line in addition to its name and value: colon, space and line break.
private const val HEADER_SEPARATOR_BYTES = 4

// Number of requests on one connection that may wait for the response to an earlier one.
private const val MAXIMUM_PIPELINED = 4

/** A caller's request and the means to respond to it. */
typealias CallerExchange = CallerConnection.CallerExchange

/** Interval at which listeners check for idle or slow callers; small against the limits, which are several seconds. */
val CALLER_EXPIRY_INTERVAL: Duration = Duration.parse("500ms")
