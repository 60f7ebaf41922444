package io.kumquattrail.standin.records

import io.kumquattrail.standin.HttpStandIn
import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Stands in for the platform's configuration service and its list of VMs, which can only be read and watched.
 *
 * `GET /v1/records?after=R&wait_ms=W` answers `{"revision":N,"records":[{"kind","name","revision","value"}]}` with the
 * records above revision R, after a wait of at most W while there are none. `GET /v1/vms` answers
 * `{"vms":[{"address","zone","state"}]}`. Only the program that owns the stand-in can publish.
 */
class PublishedRecordsService(
    vertx: Vertx,
    port: Int = 0,
) : HttpStandIn(vertx, port) {
    private val lock = Any()
    private val records = LinkedHashMap<String, JsonObject>()
    private val virtualMachines = LinkedHashMap<String, JsonObject>()
    private val waiting = mutableSetOf<Watch>()
    private val calls = AtomicLong()
    private val open = AtomicInteger()
    private var revision = 0L

    /** Answers every call with status 503 while `true`. */
    @Volatile
    var down: Boolean = false

    /** Hides records above this revision, as a stale replica does, unless it is `null`. */
    @Volatile
    var staleAt: Long? = null

    /** Number of reads so far; a watch counts as one. */
    val callCount: Long get() = calls.get()

    /** Revision of the newest record. */
    val newestRevision: Long get() = synchronized(lock) { revision }

    /** Publishes [record], which names its `kind` and `name`, and returns its revision. */
    fun publish(record: JsonObject): Long {
        val key = record.getString("kind") + "/" + record.getString("name")
        val (published, watches) =
            synchronized(lock) {
                revision += 1
                val entry =
                    JsonObject()
                        .put("kind", record.getString("kind"))
                        .put("name", record.getString("name"))
                        .put("revision", revision)
                        .put("value", record)
                records.remove(key)
                records[key] = entry
                revision to waiting.toList().also { waiting.clear() }
            }
        watches.forEach { it.answer() }
        return published
    }

    /** Lists the VM at [address] in [state] (`live` or `leaving`); `null` removes it. */
    fun listVirtualMachine(
        address: String,
        zone: String,
        state: String?,
    ) = synchronized(lock) {
        if (state == null) {
            virtualMachines.remove(address)
        } else {
            virtualMachines[address] = JsonObject().put("address", address).put("zone", zone).put("state", state)
        }
    }

    override fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler { context ->
            calls.incrementAndGet()
            if (down) context.response().setStatusCode(HTTP_SERVICE_UNAVAILABLE).end() else context.next()
        }
        router.get("/v1/records").handler(::read)
        router.get("/v1/vms").handler { context ->
            val list = synchronized(lock) { JsonArray(virtualMachines.values.toList()) }
            context.json(JsonObject().put("vms", list))
        }
        return router
    }

    private fun read(context: RoutingContext) {
        val after = context.request().getParam("after")?.toLongOrNull() ?: 0L
        val wait = (context.request().getParam("wait_ms")?.toLongOrNull() ?: 0L).coerceAtMost(LONGEST_WAIT_MILLISECONDS)
        if (wait <= 0 || visibleRevision() > after) return answer(context, after)
        val watch = Watch(context, after)
        synchronized(lock) { waiting += watch }
        open.incrementAndGet()
        vertx.setTimer(wait) { watch.answer() }
        if (visibleRevision() > after) watch.answer()
    }

    private fun visibleRevision(): Long = synchronized(lock) { minOf(revision, staleAt ?: Long.MAX_VALUE) }

    private fun answer(
        context: RoutingContext,
        after: Long,
    ) {
        val body =
            synchronized(lock) {
                val visible = visibleRevision()
                val newer = records.values.filter { it.getLong("revision") in (after + 1)..visible }
                JsonObject().put("revision", visible).put("records", JsonArray(newer))
            }
        context.json(body)
    }

    private inner class Watch(
        private val context: RoutingContext,
        private val after: Long,
    ) {
        private var answered = false

        fun answer() {
            synchronized(lock) {
                if (answered) return
                answered = true
                waiting -= this
            }
            open.decrementAndGet()
            context.vertx().runOnContext { if (!context.response().closed()) answer(context, after) }
        }
    }

    private companion object {
        const val HTTP_SERVICE_UNAVAILABLE = 503
        const val LONGEST_WAIT_MILLISECONDS = 60_000L
    }
}
