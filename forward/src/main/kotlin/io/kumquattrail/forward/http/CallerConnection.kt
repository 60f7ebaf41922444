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
    /** Answers [exchange]; the call is cancelled when the caller leaves. */
    suspend fun handle(exchange: CallerExchange)
}

/** What the connections of one listener share. It is used on one event loop only. */
class CallerListenerState(
    val scope: CoroutineScope,
    val handler: CallerRequestHandler,
    val limits: () -> CallerLimits,
) {
    /** Open connections. */
    val connections = LinkedHashSet<CallerConnection>()

    /** Whether responses announce that their connection closes. */
    var closeAfterResponse = false

    /** Closes the connections on which no request is being read or answered. */
    fun closeIdle() = connections.filter { it.isIdle }.forEach { it.close() }

    /** Requests that are being read or answered. */
    val requestsInProgress: Int get() = connections.count { !it.isIdle }
}

/** One connection of a caller. Requests are answered one after the other, in the order of arrival. */
class CallerConnection(
    private val state: CallerListenerState,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<WaitingRequest>()
    private var reading: HttpRequest? = null
    private val body = ByteArrayOutputStream()
    private var answering: Job? = null
    private var rejected = false
    private var lastActivity = ProcessClock.monotonic()
    private var headBegan: MonotonicTime? = null
    private var headBytes = 0
    private var writable = CompletableDeferred<Unit>()

    /** Whether a request is being answered. */
    val isAnswering: Boolean get() = answering != null

    /** Whether no request is being read, also not its head, or answered. */
    val isIdle: Boolean get() = answering == null && reading == null && headBegan == null

    /** Closes the connection if its caller has been silent, or has written at one head, for longer than limits allow. */
    fun closeIfExpired(
        now: MonotonicTime,
        limits: CallerLimits,
    ) {
        if (isAnswering || rejected) return
        val headIsSlow = headBegan?.let { now - it > limits.headerTimeout } ?: false
        if (headIsSlow) return reject(HttpResponseStatus.REQUEST_TIMEOUT)
        if (now - lastActivity > limits.idleTimeout) context.close()
    }

    /** Adds the handlers of a connection to [pipeline]. */
    fun addTo(
        pipeline: ChannelPipeline,
        decoder: HttpRequestDecoder,
    ) {
        pipeline.addLast(HeadWatch(), decoder, HttpResponseEncoder(), this)
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
        waiting.clear()
        answering?.cancel()
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
        // The caller reset the connection; channelInactive follows and cancels what is in progress.
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
        if (message is HttpContent && reading != null) onContent(message)
    }

    private fun onHead(request: HttpRequest) {
        val headers = request.headers()
        if (sizeOf(request) > state.limits().headerBytes) {
            return reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        // Two lengths in one head let two parsers disagree on where the body ends.
        val ambiguous =
            headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (ambiguous) return reject(HttpResponseStatus.BAD_REQUEST)
        if (HttpUtil.getContentLength(request, 0L) > state.limits().bodyBytes) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        reading = request
        headBegan = null
        headBytes = 0
        body.reset()
    }

    private fun onContent(content: HttpContent) {
        val request = reading ?: return
        val bytes = content.content()
        if (bytes.isReadable) {
            if (body.size() + bytes.readableBytes() > state.limits().bodyBytes) {
                return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            }
            bytes.readBytes(body, bytes.readableBytes())
        }
        if (content !is LastHttpContent) return
        reading = null
        val complete =
            HttpMessage(
                method = request.method().name(),
                target = request.uri(),
                headers = request.headers(),
                body = if (body.size() == 0) EMPTY_BODY else body.toByteArray(),
            )
        val next = WaitingRequest(message = complete, keepAlive = HttpUtil.isKeepAlive(request))
        if (answering == null) answer(next) else waiting.addLast(next)
        // A caller that sends on without waiting for answers is not read on, so that it cannot fill the memory.
        if (waiting.size >= MAXIMUM_WAITING) context.channel().config().isAutoRead = false
    }

    private fun sizeOf(head: HttpRequest): Int =
        head.method().name().length + head.uri().length +
            head.headers().iteratorAsString().asSequence().sumOf { (name, value) ->
                name.length + value.length +
                    SEPARATORS
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

    private fun answer(next: WaitingRequest) {
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
        answering = job
        job.invokeOnCompletion { failure -> finished(exchange, failure) }
        job.start()
    }

    private fun finished(
        exchange: CallerExchange,
        failure: Throwable?,
    ) {
        answering = null
        lastActivity = ProcessClock.monotonic()
        if (failure != null || !exchange.isComplete) {
            context.close()
            return
        }
        waiting.removeFirstOrNull()?.let(::answer)
        if (waiting.size < MAXIMUM_WAITING) context.channel().config().isAutoRead = true
    }

    /** Watches the head of a request while it arrives, which the decoder shows only when it is complete. */
    private inner class HeadWatch : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (reading == null && headBegan == null) headBegan = ProcessClock.monotonic()
            val bytes = (message as? ByteBuf)?.readableBytes() ?: 0
            super.channelRead(context, message)
            if (headBegan == null || rejected) return
            headBytes += bytes
            if (headBytes > state.limits().headerBytes) reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
    }

    private class WaitingRequest(
        val message: HttpMessage,
        val keepAlive: Boolean,
        val arrived: MonotonicTime = ProcessClock.monotonic(),
    )

    /** A request and the way to answer it. */
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

        /** Sends the head of a response whose body follows in pieces. */
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

        /** Sends a piece of the body, and waits while the caller has not read the pieces before it. */
        suspend fun piece(bytes: ByteArray) {
            context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            while (!context.channel().isWritable && context.channel().isActive) writable.await()
        }

        /** Ends the body as complete. */
        fun end() = finish(DefaultLastHttpContent())

        /** Breaks the response off, so that it does not look complete. */
        fun breakOff() {
            context.close()
        }

        private var closes = false

        private fun announceClose(response: HttpResponse) {
            closes = !keepAlive || state.closeAfterResponse
            if (closes) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun finish(last: HttpObject) {
            if (last is HttpResponse) announceClose(last)
            isComplete = true
            val written: ChannelFuture = context.writeAndFlush(last)
            if (closes) written.addListener(ChannelFutureListener.CLOSE)
        }
    }
}

// Bytes of a header line beside its name and value: colon, space and line break.
private const val SEPARATORS = 4

// Requests of one caller that wait for the answer to the one before.
private const val MAXIMUM_WAITING = 4

/** A request of a caller and the way to answer it. */
typealias CallerExchange = CallerConnection.CallerExchange

/** Interval at which listeners look for silent callers; small against the limits, which are seconds. */
val CALLER_EXPIRY_INTERVAL: Duration = Duration.parse("500ms")
