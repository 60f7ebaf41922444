package io.kumquattrail.gateway.http

import io.kumquattrail.decision.refusal.Refusal
import io.vertx.core.json.JsonObject
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Renders refusals as `application/problem+json` (RFC 9457). */
object ProblemDocument {
    /** Media type of the document. */
    const val CONTENT_TYPE: String = "application/problem+json"

    private const val TYPE_PREFIX = "urn:kumquattrail:problem:"

    fun render(refusal: Refusal): JsonObject {
        val document =
            JsonObject()
                .put("type", TYPE_PREFIX + refusal.reason.type)
                .put("title", refusal.reason.type.replace('-', ' '))
                .put("status", refusal.reason.status)
                .put("detail", refusal.detail)
                .put("run", refusal.runState.label)
        refusal.ticket?.let { document.put("ticket", it) }
        return document
    }

    /** Returns the value of the `Retry-After` header for [time], in whole seconds of at least 1. */
    fun retryAfter(time: Duration): String =
        Math
            .ceil(time.toDouble(DurationUnit.SECONDS))
            .toLong()
            .coerceAtLeast(1)
            .toString()
}
