package io.kumquattrail.standin.engine

import io.kumquattrail.standin.HttpStandIn
import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Performance and limits of a [ModelEngine].
 *
 * @property firstTokenMilliseconds time to the first token of a request.
 * @property tokenMilliseconds time between tokens while one request runs.
 * @property slowdownPerRequest relative growth of the token time for each further running request.
 * @property coldRequests completed requests after which a cold engine is warm.
 * @property coldBound running requests at which a cold engine crashes.
 */
data class EngineProfile(
    val firstTokenMilliseconds: Long = 10,
    val tokenMilliseconds: Long = 2,
    val slowdownPerRequest: Double = 0.01,
    val coldRequests: Int = 8,
    val coldBound: Int = 4,
)

/**
 * Stands in for a model engine.
 *
 * It streams or answers whole completions whose tokens follow from the prompt alone, so that any engine continues what
 * another began (`X-Resume-After-Tokens`). `GET /status` returns its incarnation and running requests. A prompt that
 * contains [CRASH_MARKER] crashes it; while cold it also crashes above the bound of its profile.
 */
class ModelEngine(
    vertx: Vertx,
    private val profile: EngineProfile = EngineProfile(),
    port: Int = 0,
) : HttpStandIn(vertx, port) {
    private val running = AtomicInteger()
    private val completed = AtomicInteger()
    private val crashes = AtomicInteger()
    private val overloads = AtomicInteger()
    private val received = AtomicInteger()
    private val epoch = AtomicLong()

    @Volatile
    private var incarnation = UUID.randomUUID().toString()

    /** Number of crashes so far. */
    val crashCount: Int get() = crashes.get()

    /** Number of crashes because a cold engine received more requests than it supports. */
    val coldOverloads: Int get() = overloads.get()

    /** Number of requests received so far. */
    val receivedCount: Int get() = received.get()

    /** Requests that run now. */
    val runningCount: Int get() = running.get()

    /** Drops all requests and starts again cold, under a new incarnation. */
    fun crash() {
        crashes.incrementAndGet()
        epoch.incrementAndGet()
        completed.set(0)
        running.set(0)
        incarnation = UUID.randomUUID().toString()
    }

    /** Resets the engine to cold start without dropping requests or changing the incarnation. */
    fun turnCold() {
        completed.set(0)
    }

    override fun router(): Router {
        val router = Router.router(vertx)
        router.get("/status").handler { context ->
            context.json(JsonObject().put("incarnation", incarnation).put("running", running.get()))
        }
        router.post("/v1/completions").handler(BodyHandler.create(false)).handler { run(it, chat = false) }
        router.post("/v1/chat/completions").handler(BodyHandler.create(false)).handler { run(it, chat = true) }
        return router
    }

    private fun run(
        context: RoutingContext,
        chat: Boolean,
    ) {
        received.incrementAndGet()
        val body = context.body().asJsonObject()
        val prompt = if (chat) body.getJsonArray("messages").encode() else body.getString("prompt")
        if (CRASH_MARKER in prompt) {
            crash()
            context.request().connection().close()
            return
        }
        val inFlight = running.incrementAndGet()
        if (completed.get() < profile.coldRequests && inFlight > profile.coldBound) {
            overloads.incrementAndGet()
            crash()
            context.request().connection().close()
            return
        }
        val generation =
            Generation(
                context = context,
                chat = chat,
                seed = prompt.hashCode(),
                tokens = body.getInteger("max_tokens", DEFAULT_TOKENS),
                stream = body.getBoolean("stream", false),
                next = context.request().getHeader("X-Resume-After-Tokens")?.toIntOrNull() ?: 0,
                startedIn = epoch.get(),
            )
        vertx.setTimer(profile.firstTokenMilliseconds) { generation.begin() }
    }

    private inner class Generation(
        private val context: RoutingContext,
        private val chat: Boolean,
        private val seed: Int,
        private val tokens: Int,
        private val stream: Boolean,
        private var next: Int,
        private val startedIn: Long,
    ) {
        private val text = StringBuilder()

        fun begin() {
            if (stream) context.response().setChunked(true).putHeader("Content-Type", "text/event-stream")
            step()
        }

        private fun step() {
            if (lost()) return
            if (next >= tokens) return finish()
            val token = "token${(seed + next).mod(VOCABULARY)} "
            if (stream) context.response().write("data: ${chunk(token).encode()}\n\n") else text.append(token)
            next += 1
            val slowdown = 1 + profile.slowdownPerRequest * running.get()
            vertx.setTimer((profile.tokenMilliseconds * slowdown).toLong().coerceAtLeast(1)) { step() }
        }

        private fun lost(): Boolean {
            if (epoch.get() != startedIn) {
                context.request().connection().close()
                return true
            }
            if (context.response().closed()) {
                running.decrementAndGet()
                return true
            }
            return false
        }

        private fun finish() {
            running.decrementAndGet()
            completed.incrementAndGet()
            if (stream) {
                context.response().end("data: [DONE]\n\n")
            } else {
                context.json(whole(text.toString()))
            }
        }

        private fun chunk(token: String): JsonObject {
            val choice =
                if (chat) {
                    JsonObject().put("index", 0).put("delta", JsonObject().put("content", token))
                } else {
                    JsonObject().put("index", 0).put("text", token)
                }
            val kind = if (chat) "chat.completion.chunk" else "text_completion"
            return JsonObject().put("object", kind).put("choices", JsonArray().add(choice))
        }

        private fun whole(answer: String): JsonObject {
            val choice = JsonObject().put("index", 0).put("finish_reason", "length")
            if (chat) {
                choice.put("message", JsonObject().put("role", "assistant").put("content", answer))
            } else {
                choice.put("text", answer)
            }
            return JsonObject()
                .put("object", if (chat) "chat.completion" else "text_completion")
                .put("choices", JsonArray().add(choice))
                .put("usage", JsonObject().put("completion_tokens", tokens))
        }
    }

    companion object {
        /** Part of a prompt that crashes the engine. */
        const val CRASH_MARKER: String = "#crash#"

        private const val DEFAULT_TOKENS = 16
        private const val VOCABULARY = 1_000

        /** Returns the text that any engine generates for [prompt] with [tokens] tokens. */
        fun expectedText(
            prompt: String,
            tokens: Int,
        ): String = (0 until tokens).joinToString("") { "token${(prompt.hashCode() + it).mod(VOCABULARY)} " }
    }
}
