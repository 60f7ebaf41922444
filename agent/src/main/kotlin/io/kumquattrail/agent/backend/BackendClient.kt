package io.kumquattrail.agent.backend

import io.kumquattrail.node.http.rejectMalformedResponses
import io.kumquattrail.node.settings.SocketAddress
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpResponseExpectation
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends calls to the backend server beside the agent.
 *
 * @property onConnectionClosed called when a connection that was kept open closes, on any thread.
 */
class BackendClient(
    vertx: Vertx,
    private val address: SocketAddress,
    private val statusTimeout: Duration = 2.seconds,
    private val onConnectionClosed: () -> Unit = {},
) {
    private val options =
        HttpClientOptions().setDefaultHost(address.host).setDefaultPort(address.port).setConnectTimeout(
            CONNECT_TIMEOUT_MILLISECONDS,
        )
    private val pool = PoolOptions().setHttp1MaxSize(LARGEST_POOL)

    // A restart of the server closes all connections, so an idle one tells of it before any work is sent.
    private val pooled: HttpClientAgent =
        vertx
            .httpClientBuilder()
            .with(options)
            .with(pool)
            .withConnectHandler { connection ->
                connection.rejectMalformedResponses()
                connection.closeHandler { onConnectionClosed() }
            }.build()

    // A server may close an idle pooled connection while a call is written to it, and then nobody knows whether the
    // call ran. A new connection for each unrepeatable call leaves no such doubt.
    private val unpooled: HttpClientAgent =
        vertx
            .httpClientBuilder()
            .with(HttpClientOptions(options).setKeepAlive(false))
            .with(pool)
            .withConnectHandler { connection -> connection.rejectMalformedResponses() }
            .build()

    /** Sends [call] once and reports the answer; cancelling the collection resets the call. */
    fun send(call: BackendCall): Flow<BackendEvent> =
        flow {
            val client = if (call.repeatable) pooled else unpooled
            val requestOptions = RequestOptions().setMethod(HttpMethod.valueOf(call.method)).setURI(call.path)
            val request =
                try {
                    client.request(requestOptions).coAwait()
                } catch (exception: java.io.IOException) {
                    emit(BackendEvent.NotSent(exception.toString()))
                    return@flow
                }
            val events = Channel<BackendEvent>(Channel.UNLIMITED)
            call.headers.forEach { (name, value) -> request.putHeader(name, value) }
            request.exceptionHandler { events.trySend(BackendEvent.Lost(it.toString())) }
            // Bytes that arrive before the handlers are set are lost, so they are set before the call is sent.
            val response = request.response()
            listen(response, events)
            request.send(Buffer.buffer(call.body))
            var complete = false
            try {
                for (event in events) {
                    complete = event is BackendEvent.End || event is BackendEvent.Lost
                    emit(event)
                    if (complete) break
                    if (event is BackendEvent.Body) response.result()?.fetch(1)
                }
            } finally {
                if (!complete) request.reset()
            }
        }

    /** Asks the server for its status; returns `null` when it does not answer, or answers with a failure. */
    suspend fun status(): BackendStatus? =
        withTimeoutOrNull(statusTimeout) {
            try {
                val request = pooled.request(HttpMethod.GET, STATUS_PATH).coAwait()
                // Bytes that arrive before the handlers are set are lost, so they are set before the request is sent.
                val body = request.response().expecting(HttpResponseExpectation.SC_OK).compose { it.body() }
                request.send()
                val status = JsonObject(body.coAwait())
                BackendStatus(status.getString("incarnation", ""), status.getInteger("running", 0))
            } catch (exception: java.io.IOException) {
                null
            } catch (exception: io.vertx.core.VertxException) {
                null
            } catch (exception: io.vertx.core.json.DecodeException) {
                null
            }
        }

    fun close() {
        pooled.close()
        unpooled.close()
    }

    private fun listen(
        response: Future<HttpClientResponse>,
        events: Channel<BackendEvent>,
    ) {
        response.onFailure { events.trySend(BackendEvent.Lost(it.toString())) }
        response.onSuccess { answer ->
            answer.pause()
            answer.exceptionHandler { events.trySend(BackendEvent.Lost(it.toString())) }
            answer.handler { buffer -> events.trySend(BackendEvent.Body(buffer.bytes)) }
            answer.endHandler { events.trySend(BackendEvent.End) }
            val headers = answer.headers().associate { (name, value) -> name.lowercase() to value }
            events.trySend(BackendEvent.Head(answer.statusCode(), headers))
            answer.fetch(INITIAL_FETCH)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1_000
        const val LARGEST_POOL = 4_096
        const val INITIAL_FETCH = 16L
        const val STATUS_PATH = "/status"
    }
}
