package io.kumquattrail.standin.ledger

import io.kumquattrail.standin.HttpStandIn
import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Records every run of a posting over all servers of the ledger service, independently of the product. */
class PostingLog {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** Number of runs by reference. */
    val runsByReference: Map<String, Int> get() = runs.mapValues { it.value.get() }

    /** Number of references that ran more than once. */
    val doubleRuns: Int get() = runs.values.count { it.get() > 1 }

    fun record(reference: String): Int = runs.computeIfAbsent(reference) { AtomicInteger() }.incrementAndGet()
}

/**
 * Stands in for one server of a plain service whose postings may not be repeated.
 *
 * `POST /postings` applies the posting named by the body's `reference`; `GET /postings/{reference}` returns how often.
 * The server does not remove duplicates itself.
 */
class LedgerService(
    vertx: Vertx,
    private val log: PostingLog,
    private val milliseconds: Long = 2,
    port: Int = 0,
) : HttpStandIn(vertx, port) {
    private val incarnation = UUID.randomUUID().toString()

    override fun router(): Router {
        val router = Router.router(vertx)
        router.get("/status").handler { context ->
            context.json(JsonObject().put("incarnation", incarnation).put("running", 0))
        }
        router.post("/postings").handler(BodyHandler.create(false)).handler { context ->
            val body = runCatching { context.body().asJsonObject() }.getOrNull()
            val reference = body?.getString("reference")
            if (reference == null) {
                context.response().setStatusCode(HTTP_BAD_REQUEST).end("a posting needs a reference\n")
            } else {
                val run = log.record(reference)
                vertx.setTimer(milliseconds) {
                    context
                        .response()
                        .setStatusCode(HTTP_CREATED)
                        .putHeader("Content-Type", "application/json")
                        .end(JsonObject().put("reference", reference).put("run", run).encode())
                }
            }
        }
        router.get("/postings/:reference").handler { context ->
            val reference = context.pathParam("reference")
            context.json(JsonObject().put("reference", reference).put("runs", log.runsByReference[reference] ?: 0))
        }
        return router
    }

    private companion object {
        const val HTTP_BAD_REQUEST = 400
        const val HTTP_CREATED = 201
    }
}
