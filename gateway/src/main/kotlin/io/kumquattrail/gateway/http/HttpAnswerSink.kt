package io.kumquattrail.gateway.http

import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.gateway.call.AnswerSink
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.selects.select

/** Writes an answer to a caller's HTTP connection. Used on the connection's event loop. */
class HttpAnswerSink(
    private val response: HttpServerResponse,
) : AnswerSink {
    private val closed = CompletableDeferred<Unit>()

    override val gone: Job get() = closed

    init {
        response.closeHandler { closed.complete(Unit) }
        response.exceptionHandler { closed.complete(Unit) }
        if (response.closed()) closed.complete(Unit)
    }

    /** Sets the header by which a person finds the request in the timeline. */
    fun identify(requestId: String) {
        if (!unusable()) response.putHeader("X-Request-Id", requestId)
    }

    override suspend fun head(
        status: Int,
        headers: Map<String, String>,
    ) {
        if (unusable()) return
        response.setStatusCode(status)
        headers.forEach { (name, value) -> response.putHeader(name, value) }
        response.setChunked(true)
    }

    override suspend fun body(bytes: ByteArray) {
        if (unusable()) return
        response.write(Buffer.buffer(bytes))
        if (response.writeQueueFull()) awaitDrain()
    }

    override suspend fun finish() {
        if (!unusable()) response.end()
    }

    override suspend fun refuse(refusal: Refusal) {
        if (unusable()) return
        refusal.retryAfter?.let { response.putHeader("Retry-After", ProblemDocument.retryAfter(it)) }
        refusal.ticket?.let { response.putHeader("Idempotency-Ticket", it) }
        response
            .setStatusCode(refusal.reason.status)
            .putHeader("Content-Type", ProblemDocument.CONTENT_TYPE)
            .end(ProblemDocument.render(refusal).encode())
    }

    // A reset keeps the caller from taking a part of an answer for the whole.
    override suspend fun breakOff(refusal: Refusal) {
        if (!unusable()) response.reset()
    }

    private suspend fun awaitDrain() {
        val drained = CompletableDeferred<Unit>()
        response.drainHandler { drained.complete(Unit) }
        if (!response.writeQueueFull()) return
        select {
            drained.onAwait { }
            closed.onJoin { }
        }
    }

    private fun unusable(): Boolean = response.ended() || response.closed()
}
