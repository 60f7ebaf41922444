package io.kumquattrail.decision.refusal

import kotlin.time.Duration

/** Whether a refused request may have run. [label] is the value of the member `run` of the problem document. */
enum class RunState(
    val label: String,
) {
    /** It is proved that no attempt has run and that none can still run. */
    NO("no"),

    /** An attempt may have run or may still run. */
    UNKNOWN("unknown"),
}

/**
 * Reason for which a request is refused.
 *
 * @property type last segment of the problem document's `type`, stable across releases.
 * @property status HTTP status of the response.
 */
enum class RefusalReason(
    val type: String,
    val status: Int,
) {
    MALFORMED_REQUEST("malformed-request", 400),
    UNKNOWN_ORGANISATION("unknown-organisation", 401),
    UNKNOWN_SERVICE("unknown-service", 404),
    REQUEST_TIMEOUT("request-timeout", 408),
    REQUEST_TOO_LARGE("request-too-large", 413),
    KEY_NOT_SUPPORTED("key-not-supported", 422),

    /** The key was used before with a different request. */
    KEY_REUSED("key-reused", 422),
    KEY_IN_PROGRESS("key-in-progress", 409),

    /** The key's owner has voided the attempt's round; the key can run only with the current ticket. */
    KEY_REFUSED_BEFORE("key-refused-before", 409),
    KEY_OUTCOME_UNKNOWN("key-outcome-unknown", 503),
    KEY_OWNER_UNREACHABLE("key-owner-unreachable", 503),
    ORGANISATION_LIMIT("organisation-limit", 429),
    OVERLOADED("overloaded", 503),

    /** No server can take the request, for example because all are draining or no connection can be established. */
    NO_SERVER_AVAILABLE("no-server-available", 503),

    /** The gateway has not received the records yet, or the server has not been published. */
    NOT_READY("not-ready", 503),
    SHUTTING_DOWN("shutting-down", 503),
    DEADLINE_EXCEEDED("deadline-exceeded", 504),
    SERVER_FAILED("server-failed", 502),
    REQUEST_CRASHES_SERVERS("request-crashes-servers", 422),
}

/**
 * Refusal of a request, as stated to its caller.
 *
 * @property detail explanation for the person who reads the response, in one sentence.
 * @property retryAfter time after which the request may succeed if sent again, or `null` if waiting does not help.
 * @property ticket value of the `Idempotency-Ticket` header with which the request may be sent again, or `null`.
 */
data class Refusal(
    val reason: RefusalReason,
    val runState: RunState,
    val detail: String,
    val retryAfter: Duration? = null,
    val ticket: String? = null,
)
