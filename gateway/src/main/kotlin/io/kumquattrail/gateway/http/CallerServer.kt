package io.kumquattrail.gateway.http

import com.github.michaelbull.result.fold
import io.kumquattrail.decision.idempotency.IdempotencyKey
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.gateway.call.CallEnd
import io.kumquattrail.gateway.request.IncomingRequest
import io.kumquattrail.gateway.request.RequestParser
import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.settings.GatewaySettings
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.net.PemKeyCertOptions
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Answers requests that were read whole. */
interface RequestHandler {
    suspend fun handle(
        request: IncomingRequest,
        sink: HttpAnswerSink,
    ): CallEnd

    /** Answers a request for idempotency keys. */
    suspend fun issueKeys(
        request: IncomingRequest,
        context: RoutingContext,
    )
}

/** Takes callers' requests over HTTP. */
class CallerServer(
    private val vertx: Vertx,
    private val settings: GatewaySettings,
    private val handler: RequestHandler,
) {
    private val log = PartLogger("gateway.http")
    private val scope = CoroutineScope(SupervisorJob())
    private val inProgress = AtomicInteger()
    private var server: HttpServer? = null

    @Volatile
    private var stopping = false

    /** Opens the port and returns the port number, which differs from the settings when they say 0. */
    suspend fun start(): Int {
        val opened =
            vertx
                .createHttpServer(options())
                .requestHandler(router())
                .exceptionHandler { log.warn("connection failed", "cause" to it.toString()) }
                .listen(settings.callers.port, settings.callers.host)
                .coAwait()
        server = opened
        log.info("listening", "address" to settings.callers.copy(port = opened.actualPort()))
        return opened.actualPort()
    }

    /** Refuses new requests, waits up to [timeout] for requests in progress, then closes. */
    suspend fun stop(timeout: Duration) {
        stopping = true
        withTimeoutOrNull(timeout) { while (inProgress.get() > 0) delay(DRAIN_POLL) }
        if (inProgress.get() >
            0
        ) {
            log.warn("requests in progress exceeded the drain timeout", "requests" to inProgress.get())
        }
        server?.close()?.coAwait()
    }

    /** Closes at once, as a process that dies does. */
    suspend fun kill() {
        server?.close()?.coAwait()
    }

    private fun options(): HttpServerOptions {
        val options =
            HttpServerOptions()
                .setMaxHeaderSize(LARGEST_HEADERS)
                .setMaxInitialLineLength(LARGEST_LINE)
                .setIdleTimeout(settings.longestTimeout.inWholeSeconds.toInt() + 1)
                .setIdleTimeoutUnit(TimeUnit.SECONDS)
                .setTcpNoDelay(true)
        settings.callersSecurity?.let { security ->
            options.setSsl(true).setKeyCertOptions(
                PemKeyCertOptions()
                    .addCertPath(security.certificate.toString())
                    .addKeyPath(security.key.toString()),
            )
        }
        return options
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler(::beginRequest)
        router.route().handler(BodyHandler.create(false).setBodyLimit(settings.largestBody.toLong()))
        router.post(KEYS_PATH).handler { context -> launch(context) { handler.issueKeys(incoming(context), context) } }
        router.route().handler { context ->
            launch(context) { handler.handle(incoming(context), HttpAnswerSink(context.response())) }
        }
        router.route().failureHandler(::fail)
        return router
    }

    private fun beginRequest(context: RoutingContext) {
        if (stopping) {
            context.response().putHeader("Connection", "close")
            refuse(context, RefusalReason.SHUTTING_DOWN, "The gateway is shutting down.")
            return
        }
        inProgress.incrementAndGet()
        val timer =
            vertx.setTimer(SLOWEST_BODY.inWholeMilliseconds) {
                if (context.get<Boolean>(BODY_READ) != true) context.fail(RefusalReason.REQUEST_TIMEOUT.status)
            }
        context.addEndHandler {
            vertx.cancelTimer(timer)
            inProgress.decrementAndGet()
        }
        context.next()
    }

    private fun launch(
        context: RoutingContext,
        action: suspend () -> Unit,
    ) {
        context.put(BODY_READ, true)
        scope.launch(vertx.dispatcher()) {
            try {
                action()
            } catch (exception: Exception) {
                log.error("request failed", exception, "path" to context.request().path())
                if (!context.response().ended()) context.response().reset()
                throw exception
            }
        }
    }

    private fun incoming(context: RoutingContext): IncomingRequest {
        val request = context.request()
        return IncomingRequest(
            method = request.method().name(),
            path = request.uri(),
            headers = request.headers().associate { (name, value) -> name.lowercase() to value },
            body = context.body().buffer()?.bytes ?: ByteArray(0),
        )
    }

    private fun fail(context: RoutingContext) {
        when (context.statusCode()) {
            RefusalReason.REQUEST_TOO_LARGE.status -> {
                refuse(context, RefusalReason.REQUEST_TOO_LARGE, "The body exceeds ${settings.largestBody} bytes.")
            }

            RefusalReason.REQUEST_TIMEOUT.status -> {
                refuse(context, RefusalReason.REQUEST_TIMEOUT, "The request did not arrive within $SLOWEST_BODY.")
            }

            else -> {
                refuse(context, RefusalReason.MALFORMED_REQUEST, "The request cannot be read.")
            }
        }
    }

    private fun refuse(
        context: RoutingContext,
        reason: RefusalReason,
        detail: String,
    ) {
        val refusal =
            Refusal(reason, RunState.NO, detail).truthfulFor(context.request().getHeader(RequestParser.KEY_HEADER))
        context
            .response()
            .setStatusCode(reason.status)
            .putHeader("Content-Type", ProblemDocument.CONTENT_TYPE)
            .end(ProblemDocument.render(refusal).encode())
    }

    internal companion object {
        const val KEYS_PATH = "/v1/idempotency-keys"
        private const val BODY_READ = "body-read"
        private const val LARGEST_HEADERS = 32 * 1024
        private const val LARGEST_LINE = 8 * 1024
        private val SLOWEST_BODY = 30_000.milliseconds
        private val DRAIN_POLL = 20.milliseconds
    }
}

/**
 * Returns this refusal with the run state `UNKNOWN` when the request has the idempotency key [key].
 *
 * An earlier request with the same key may have run through another gateway, so a gateway cannot say `no` on its own,
 * unless the key has a format that no process ever runs.
 */
internal fun Refusal.truthfulFor(key: String?): Refusal =
    when {
        key == null || runState == RunState.UNKNOWN -> this
        else -> IdempotencyKey.parse(key).fold(success = { copy(runState = RunState.UNKNOWN) }, failure = { this })
    }
