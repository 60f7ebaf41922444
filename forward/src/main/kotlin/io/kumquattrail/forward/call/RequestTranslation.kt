package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.route.RouteKind
import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.HttpMessage
import io.kumquattrail.forward.http.endToEnd

private val URGENCY_RANGE = 0..9

/**
 * Translates callers' requests to those sent to backend servers. The organisation header is set by the gateway alone.
 */
internal class RequestTranslation(
    private val headers: ForwardingHeaders,
) {
    /** Returns the request of [call] as it is sent to [server] at [now], with the time that remains. */
    fun toServer(
        call: Call,
        server: BackendServer,
        now: MonotonicTime,
    ): HttpMessage {
        val original = call.exchange.request
        val forwarded = original.headers.endToEnd()
        forwarded.remove(headers.authorisation)
        forwarded.remove(headers.organisation)
        call.organisation?.let { forwarded.set(headers.organisation, it) }
        forwarded.set(headers.expectedServer, server.name.value)
        forwarded.set(headers.remainingTime, (call.deadline - now).inWholeMilliseconds.coerceAtLeast(1).toString())
        if (call.route.kind == RouteKind.STREAMING) {
            forwarded.set(headers.urgency, call.priority.coerceIn(URGENCY_RANGE).toString())
            call.cursor.lastId?.let { forwarded.set(headers.lastEvent, it.toString()) }
        }
        return HttpMessage(original.method, original.target, forwarded, original.body)
    }

    /** Returns the number of tokens in the prompt of [request], or 0 when it does not state the number. */
    fun promptTokens(request: HttpMessage): Long =
        request.headers
            .get(headers.tokenCount)
            ?.substringBefore(',')
            ?.trim()
            ?.toLongOrNull() ?: 0

    /**
     * Returns the parts of the prompt of [request] that other requests may share, without repetitions.
     *
     * The last part belongs to the request alone. Entries without an id are ignored. Without a readable header the
     * result is empty.
     */
    fun sharedPromptParts(request: HttpMessage): List<PromptPart> =
        request.headers
            .getAll(headers.promptParts)
            .flatMap { it.split(',') }
            .mapNotNull { PromptPart.of(id = it.substringBefore(':')) }
            .dropLast(1)
            .distinct()

    /** Returns the key that the caller of [request] has sent, or `null`. */
    fun callerKey(request: HttpMessage): String? {
        val value = request.headers.get(headers.authorisation) ?: return null
        val scheme = headers.authorisationScheme
        if (!value.startsWith("$scheme ", ignoreCase = true)) return null
        return value.substring(scheme.length + 1).trim()
    }
}
