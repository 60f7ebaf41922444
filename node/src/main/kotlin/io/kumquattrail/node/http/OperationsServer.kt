package io.kumquattrail.node.http

import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.metrics.NodeMetrics
import io.kumquattrail.node.settings.SocketAddress
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait

/** Says whether a process is ready for work, and why not. */
interface Readiness {
    /** Lists the conditions that are not met, in short words; an empty list means ready. */
    fun missing(): List<String>

    /** Lists remarks that do not keep the process from working, such as `unconfirmed`. */
    fun remarks(): List<String> = emptyList()
}

/** Serves `/metrics`, `/livez` and `/readyz` to operators. */
class OperationsServer(
    private val vertx: Vertx,
    private val address: SocketAddress,
    private val metrics: NodeMetrics,
    private val readiness: Readiness,
) {
    private val log = PartLogger("node.operations")
    private var server: HttpServer? = null

    /** Opens the port and returns the port number, which differs from the settings when they say 0. */
    suspend fun start(): Int {
        val opened =
            vertx
                .createHttpServer()
                .requestHandler(router())
                .listen(address.port, address.host)
                .coAwait()
        server = opened
        log.info("listening", "address" to address.copy(port = opened.actualPort()))
        return opened.actualPort()
    }

    suspend fun stop() {
        server?.close()?.coAwait()
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.get("/livez").handler { it.response().end("ok\n") }
        router.get("/readyz").handler { context ->
            val missing = readiness.missing()
            val status = if (missing.isEmpty()) HTTP_OK else HTTP_SERVICE_UNAVAILABLE
            val first = if (missing.isEmpty()) "ready" else "not ready"
            context
                .response()
                .setStatusCode(status)
                .end((listOf(first) + missing + readiness.remarks()).joinToString("\n", postfix = "\n"))
        }
        router.get("/metrics").handler { context ->
            context
                .response()
                .putHeader("Content-Type", NodeMetrics.CONTENT_TYPE)
                .end(Buffer.buffer(metrics.exposition()))
        }
        return router
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_SERVICE_UNAVAILABLE = 503
    }
}
