package io.kumquattrail.demo

import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.standin.engine.ModelEngine
import io.vertx.core.Vertx
import io.vertx.core.http.PoolOptions
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.ext.web.codec.BodyCodec
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Sends a seeded mix of drafts, streams and postings to the gateways and checks every answer. */
class DemoLoad(
    vertx: Vertx,
    private val ports: List<Int>,
    private val counters: DemoCounters,
    seed: Long,
) {
    private val log = PartLogger("demo.load")
    private val random = Random(seed)
    private val client =
        WebClient.create(vertx, WebClientOptions(), PoolOptions().setHttp1MaxSize(LARGEST_POOL))

    /** Sends requests for [time], then returns; answers may still be on their way in [scope]. */
    suspend fun run(
        scope: CoroutineScope,
        time: Duration,
    ) {
        val start = TimeSource.Monotonic.markNow()
        var index = 0
        while (start.elapsedNow() < time) {
            val request = index++
            scope.launch { send(request) }
            val pause = random.nextLong(SHORTEST_PAUSE_MILLISECONDS, LONGEST_PAUSE_MILLISECONDS).milliseconds
            // All servers start cold, so the load rises to its full rate only after they had time to warm up.
            delay(if (start.elapsedNow() < time / WARM_UP_PART) pause * WARM_UP_FACTOR else pause)
        }
    }

    private suspend fun send(index: Int) {
        counters.requests.incrementAndGet()
        when (index % MIX) {
            0 -> post(index)
            1 -> draft(index, stream = true)
            else -> draft(index, stream = false)
        }
    }

    private suspend fun draft(
        index: Int,
        stream: Boolean,
    ) {
        val prompt = "Draft number $index"
        val body =
            JsonObject()
                .put("model", LocalFleet.DRAFTING)
                .put("prompt", prompt)
                .put("max_tokens", TOKENS)
                .put("stream", stream)
        val response =
            request(index, "/v1/completions", body, key = null, port = ports[index % ports.size]) ?: return torn()
        if (response.statusCode() != HTTP_OK) return refused(response)
        val text = if (stream) streamedText(response.bodyAsString()) else wholeText(response.bodyAsString())
        if (text == ModelEngine.expectedText(prompt, TOKENS)) counters.whole.incrementAndGet() else torn()
    }

    // A caller that got no answer sends the posting again with the same key through the other gateway. After a refusal
    // that proves that nothing has run it takes a new key, which a server in service issues.
    private suspend fun post(index: Int) {
        val body = JsonObject().put("reference", "posting-$index").put("amount", index)
        var key = versionSevenKey()
        repeat(POSTING_SENDS) { sending ->
            val port = ports[(index + sending) % ports.size]
            val response = request(index, "/services/${LocalFleet.LEDGER}/postings", body, key, port)
            when {
                response == null -> {
                    Unit
                }

                response.statusCode() == HTTP_CREATED -> {
                    counters.whole.incrementAndGet()
                    return
                }

                sending == POSTING_SENDS - 1 -> {
                    return refused(response)
                }

                else -> {
                    delay(RESEND_PAUSE)
                    if (JsonObject(response.bodyAsString()).getString("run") ==
                        "no"
                    ) {
                        key = issuedKey(index, port) ?: key
                    }
                }
            }
        }
        torn()
    }

    private suspend fun issuedKey(
        index: Int,
        port: Int,
    ): String? {
        val body = JsonObject().put("service", LocalFleet.LEDGER).put("count", 1)
        val response = request(index, "/v1/idempotency-keys", body, key = null, port = port)
        return response
            ?.takeIf { it.statusCode() == HTTP_OK }
            ?.bodyAsJsonObject()
            ?.getJsonArray("keys")
            ?.getString(0)
    }

    private suspend fun request(
        index: Int,
        path: String,
        body: JsonObject,
        key: String?,
        port: Int,
    ): HttpResponse<io.vertx.core.buffer.Buffer>? {
        val organisation = ORGANISATIONS[index % ORGANISATIONS.size]
        val request =
            client
                .post(port, "127.0.0.1", path)
                .putHeader("X-Organisation", organisation)
                .putHeader("Request-Timeout", "10")
                .`as`(BodyCodec.buffer())
        key?.let { request.putHeader("Idempotency-Key", it) }
        return try {
            request.sendJsonObject(body).coAwait()
        } catch (_: IOException) {
            null
        } catch (_: io.vertx.core.VertxException) {
            null
        }
    }

    private fun wholeText(body: String): String =
        JsonObject(body).getJsonArray("choices").getJsonObject(0).getString("text")

    private fun streamedText(body: String): String =
        body
            .split("\n\n")
            .filter { it.startsWith("data: {") }
            .joinToString("") { wholeText(it.removePrefix("data: ")) }

    private fun refused(response: HttpResponse<*>) {
        val problem = runCatching { JsonObject(response.bodyAsString()) }.getOrElse { JsonObject() }
        log.info("refused", "problem" to problem)
        val type = problem.getString("type", "status-${response.statusCode()}").substringAfterLast(':')
        counters.refusals.computeIfAbsent(type) { AtomicInteger() }.incrementAndGet()
        if (problem.getString("run") ==
            "no"
        ) {
            counters.refusedNotRun.incrementAndGet()
        } else {
            counters.refusedUnknown.incrementAndGet()
        }
    }

    private fun torn() {
        counters.torn.incrementAndGet()
    }

    private fun versionSevenKey(): String {
        val time = System.currentTimeMillis()
        val bits = UUID.randomUUID()
        val high = (time shl TIME_SHIFT) or VERSION_SEVEN or (bits.mostSignificantBits and RANDOM_BITS)
        return UUID(high, bits.leastSignificantBits).toString()
    }

    private companion object {
        val ORGANISATIONS = LocalFleet.ORGANISATIONS.keys.toList()
        const val LARGEST_POOL = 256
        const val MIX = 4
        const val TOKENS = 24
        const val WARM_UP_PART = 5
        const val WARM_UP_FACTOR = 4
        const val POSTING_SENDS = 4
        val RESEND_PAUSE = 250.milliseconds
        const val HTTP_OK = 200
        const val HTTP_CREATED = 201
        const val SHORTEST_PAUSE_MILLISECONDS = 5L
        const val LONGEST_PAUSE_MILLISECONDS = 25L
        const val TIME_SHIFT = 16
        const val VERSION_SEVEN = 0x7000L
        const val RANDOM_BITS = 0xFFFL
    }
}
