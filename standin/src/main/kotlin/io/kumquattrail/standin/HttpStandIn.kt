package io.kumquattrail.standin

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait

/**
 * Serves a stand-in of an outside system over HTTP on loopback.
 *
 * @property requestedPort port to listen on; 0 selects a free one.
 */
abstract class HttpStandIn(
    protected val vertx: Vertx,
    private val requestedPort: Int = 0,
) {
    private var server: HttpServer? = null

    /** Port that the stand-in listens on, or 0 before [start]. */
    var port: Int = requestedPort
        private set

    /** Host on which every stand-in listens. */
    val host: String get() = LOOPBACK

    protected abstract fun router(): Router

    /** Opens the port; a stand-in that was stopped opens the same port again. */
    suspend fun start() {
        val opened =
            vertx
                .createHttpServer()
                .requestHandler(router())
                .listen(port, LOOPBACK)
                .coAwait()
        port = opened.actualPort()
        server = opened
    }

    /** Closes the port and resets all connections. */
    suspend fun stop() {
        server?.close()?.coAwait()
        server = null
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
    }
}
