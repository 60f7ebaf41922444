package io.kumquattrail.demo

import io.kumquattrail.standin.engine.EngineProfile
import io.kumquattrail.standin.engine.ModelEngine
import io.kumquattrail.standin.ledger.LedgerService
import io.kumquattrail.standin.ledger.PostingLog
import io.kumquattrail.standin.records.PublishedRecordsService
import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait

/**
 * Runs the stand-ins of a fleet whose gateways and agents are processes of their own.
 *
 * The control port takes `POST /records` (a list of records to publish), `POST /vms` (a list of `address`, `zone` and
 * `state`; `gone` removes one) and `GET /report`.
 *
 * @property firstPort records service; the control port and the backend servers take the ports after it.
 */
class StandInHost(
    private val vertx: Vertx,
    private val firstPort: Int,
    private val runners: Int,
    private val ledgers: Int,
) {
    private val records = PublishedRecordsService(vertx, firstPort)
    private val postings = PostingLog()
    private val engines =
        (0 until runners).map { ModelEngine(vertx, EngineProfile(), firstPort + FIRST_BACKEND + it) }
    private val ledgerServers =
        (0 until ledgers).map { LedgerService(vertx, postings, port = firstPort + FIRST_BACKEND + runners + it) }

    suspend fun start() {
        records.start()
        engines.forEach { it.start() }
        ledgerServers.forEach { it.start() }
        vertx
            .createHttpServer()
            .requestHandler(control())
            .listen(firstPort + 1, "127.0.0.1")
            .coAwait()
    }

    private fun control(): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/records").handler { context ->
            val revisions = context.body().asJsonArray().map { records.publish(it as JsonObject) }
            context.json(JsonObject().put("revision", revisions.lastOrNull() ?: records.newestRevision))
        }
        router.post("/vms").handler { context ->
            context.body().asJsonArray().forEach { entry ->
                val machine = entry as JsonObject
                val state = machine.getString("state").takeIf { it != "gone" }
                records.listVirtualMachine(machine.getString("address"), machine.getString("zone"), state)
            }
            context.json(JsonObject())
        }
        router.get("/report").handler { context ->
            context.json(
                JsonObject()
                    .put("received", JsonArray(engines.map { it.receivedCount }))
                    .put("cold_overloads", engines.sumOf { it.coldOverloads })
                    .put("double_runs", postings.doubleRuns)
                    .put("service_reads", records.callCount),
            )
        }
        return router
    }

    private companion object {
        const val FIRST_BACKEND = 10
    }
}
