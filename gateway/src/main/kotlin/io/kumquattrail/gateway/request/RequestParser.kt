package io.kumquattrail.gateway.request

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks the syntax of requests and finds the service that they address.
 *
 * @property defaultTimeout time that a call may take when the caller names none.
 * @property longestTimeout longest time that a caller may ask for.
 */
class RequestParser(
    private val defaultTimeout: Duration = 60.seconds,
    private val longestTimeout: Duration = 600.seconds,
    private val mapper: ObjectMapper = ObjectMapper(),
) : RequestFilter<IncomingRequest, ParsedRequest> {
    override fun apply(input: IncomingRequest): Result<ParsedRequest, Refusal> =
        timeout(input.headers[TIMEOUT_HEADER]).flatMap { timeout ->
            if (input.path.substringBefore('?') in MODEL_PATHS) model(input, timeout) else plain(input, timeout)
        }

    private fun model(
        input: IncomingRequest,
        timeout: Duration,
    ): Result<ParsedRequest, Refusal> =
        if (input.method != "POST") {
            Err(malformed("The path takes only POST."))
        } else {
            json(input.body).flatMap { body -> model(input, body, timeout) }
        }

    private fun model(
        input: IncomingRequest,
        body: JsonNode,
        timeout: Duration,
    ): Result<ParsedRequest, Refusal> {
        val model = body.path("model")
        val prompt = if (input.path.substringBefore('?') == CHAT_PATH) body.path("messages") else body.path("prompt")
        val outputTokens = body.path("max_tokens")
        val stream = body.path("stream")
        return when {
            !model.isTextual || model.textValue().isBlank() -> {
                Err(malformed("The member 'model' is not a text."))
            }

            !isPrompt(input.path, prompt) -> {
                Err(malformed("The prompt is missing or has the wrong type."))
            }

            !outputTokens.isMissingNode && !(outputTokens.isInt && outputTokens.intValue() in OUTPUT_TOKENS) -> {
                Err(
                    malformed(
                        "The member 'max_tokens' is not a whole number in ${OUTPUT_TOKENS.first}..${OUTPUT_TOKENS.last}.",
                    ),
                )
            }

            !stream.isMissingNode && !stream.isBoolean -> {
                Err(malformed("The member 'stream' is not true or false."))
            }

            else -> {
                val text = if (prompt.isTextual) prompt.textValue() else prompt.toString()
                val cost = TokenCost(text.length / CHARACTERS_PER_TOKEN + 1, outputTokens.asInt(DEFAULT_OUTPUT_TOKENS))
                val service = ServiceName(model.textValue())
                val prefix = text.take(PREFIX_CHARACTERS)
                Ok(parsed(input, service, input.path, timeout, cost, stream.asBoolean(false), prefix))
            }
        }
    }

    private fun plain(
        input: IncomingRequest,
        timeout: Duration,
    ): Result<ParsedRequest, Refusal> {
        val (service, path) =
            PLAIN_PATH.matchEntire(input.path)?.destructured ?: return Err(unknownPath(input.path))
        val rest = if (path.startsWith('/')) path else "/$path"
        val cost = TokenCost(promptTokens = 0, outputTokens = 1)
        return Ok(parsed(input, ServiceName(service), rest, timeout, cost))
    }

    private fun parsed(
        input: IncomingRequest,
        service: ServiceName,
        path: String,
        timeout: Duration,
        cost: TokenCost,
        stream: Boolean = false,
        promptPrefix: String = "",
    ) = ParsedRequest(
        service = service,
        method = input.method,
        path = path,
        headers = input.headers.filterKeys { it in FORWARDED_HEADERS },
        body = input.body,
        stream = stream,
        cost = cost,
        timeout = timeout,
        idempotencyKey = input.headers[KEY_HEADER],
        ticket = input.headers[TICKET_HEADER],
        promptPrefix = promptPrefix,
    )

    private fun isPrompt(
        path: String,
        prompt: JsonNode,
    ): Boolean = if (path.substringBefore('?') == CHAT_PATH) prompt.isArray && !prompt.isEmpty else prompt.isTextual

    private fun json(body: ByteArray): Result<JsonNode, Refusal> =
        try {
            val node = mapper.readTree(body)
            if (node != null && node.isObject) Ok(node) else Err(malformed("The body is not a JSON object."))
        } catch (_: JsonProcessingException) {
            Err(malformed("The body is not valid JSON."))
        }

    private fun timeout(header: String?): Result<Duration, Refusal> {
        if (header == null) return Ok(defaultTimeout)
        val seconds = header.toDoubleOrNull()
        val valid = seconds != null && seconds.isFinite() && seconds > 0 && seconds <= longestTimeout.inWholeSeconds
        return if (valid) {
            Ok((seconds!! * MILLISECONDS_PER_SECOND).toLong().coerceAtLeast(1).milliseconds)
        } else {
            Err(
                malformed(
                    "The header Request-Timeout is not a number of seconds up to ${longestTimeout.inWholeSeconds}.",
                ),
            )
        }
    }

    private fun unknownPath(path: String) =
        Refusal(RefusalReason.UNKNOWN_SERVICE, RunState.NO, "No service has the path ${path.take(SHOWN_CHARACTERS)}.")

    private fun malformed(detail: String) = Refusal(RefusalReason.MALFORMED_REQUEST, RunState.NO, detail)

    companion object {
        /** Path of completions. */
        const val COMPLETIONS_PATH: String = "/v1/completions"

        /** Path of chat completions. */
        const val CHAT_PATH: String = "/v1/chat/completions"

        /** Header with the longest time that the caller waits, in seconds. */
        const val TIMEOUT_HEADER: String = "request-timeout"

        /** Header that marks requests with the same identity. */
        const val KEY_HEADER: String = "idempotency-key"

        /** Header that permits a new request with a key that was refused. */
        const val TICKET_HEADER: String = "idempotency-ticket"

        private val MODEL_PATHS = setOf(COMPLETIONS_PATH, CHAT_PATH)
        private val PLAIN_PATH = Regex("""/services/([A-Za-z0-9._-]{1,128})((?:[/?].*)?)""")
        private val OUTPUT_TOKENS = 1..1_000_000
        private val FORWARDED_HEADERS = setOf("content-type", "accept", "accept-language", "user-agent")
        private const val DEFAULT_OUTPUT_TOKENS = 128
        private const val CHARACTERS_PER_TOKEN = 4
        private const val PREFIX_CHARACTERS = 2_048
        private const val MILLISECONDS_PER_SECOND = 1_000
        private const val SHOWN_CHARACTERS = 100
    }
}
