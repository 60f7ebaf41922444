package io.kumquattrail.forward.call

import io.kumquattrail.forward.http.CallerExchange
import io.kumquattrail.forward.http.HttpReply
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Ends requests with failures of the gateway's own, and logs why.
 *
 * A status of 503 states that the request has not run and will not run; 502 and 504 state nothing.
 */
internal class CallRefusals(
    private val state: GatewayState,
    private val headers: ForwardingHeaders,
    private val metrics: ForwardingMetrics,
    private val random: Random,
) {
    /** Ends [call] after its last attempt, which failed with [failure]. */
    fun fail(
        call: Call,
        failure: AttemptOutcome.Failed,
    ) {
        val exchange = call.exchange
        when {
            exchange.isStarted -> exchange.abort()
            failure.reply != null -> exchange.respond(failure.reply)
            call.runCount == 0 -> refuse(exchange, call.requestId, 503, failure.reason, retryAfter(call, ERROR_BACKOFF))
            else -> refuse(exchange, call.requestId, 502, failure.reason, null)
        }
    }

    /**
     * Returns the time after which the caller of [call] should retry.
     *
     * When a rank of a group fails, every rank refuses all requests for some seconds. Callers that retry at once are
     * refused again and have used up their last attempt, so the time covers the recovery of the group.
     */
    private fun retryAfter(
        call: Call,
        default: Duration,
    ): Duration {
        if (!call.refusedByFailedGroup) return default
        val estimatedRecovery =
            state.groups.estimatedRecovery(call.triedServers, ProcessClock.monotonic()) ?: GROUP_BACKOFF
        return estimatedRecovery.withJitter(random)
    }

    /** Ends [call], for which no server was selected. */
    fun refuseCall(
        call: Call,
        refused: SlotChoice.Refused,
    ) {
        if (call.exchange.isStarted) return call.exchange.abort()
        val status = if (call.runCount == 0) 503 else 502
        refuse(
            call.exchange,
            call.requestId,
            status,
            refused.reason,
            retryAfter(call, refused.retryAfter),
            "waiting" to refused.queueLength,
            "expected_wait_ms" to refused.expectedWait?.inWholeMilliseconds,
        )
    }

    /** Ends [call], which may be what crashes servers. */
    fun refuseSuspect(
        call: Call,
        refusal: SuspectRefusal,
    ) {
        if (call.exchange.isStarted) return call.exchange.abort()
        val status = if (call.runCount == 0) 503 else 502
        refuse(
            call.exchange,
            call.requestId,
            status,
            refusal.reason,
            refusal.retryAfter,
            "fingerprint" to call.fingerprint,
        )
    }

    /** Ends [call], whose deadline has passed. */
    fun endAtDeadline(call: Call) =
        endUnfinished(call, reasonBeforeSending = "deadline_before_room", reason = "deadline")

    /** Ends [call], which the process cannot finish before it exits. */
    fun endAtStop(call: Call) = endUnfinished(call, reasonBeforeSending = "stopping", reason = "stopping")

    private fun endUnfinished(
        call: Call,
        reasonBeforeSending: String,
        reason: String,
    ) {
        if (call.exchange.isComplete) return
        if (call.exchange.isStarted) {
            call.exchange.abort()
            state.log.log(
                "request_timed_out",
                "id" to call.requestId,
                "reason" to reason,
                "started" to true,
                "runs" to call.sendCount,
            )
            return
        }
        // A request that was never sent has not run; any other request may have run.
        if (call.sendCount == 0) {
            refuse(call.exchange, call.requestId, 503, reasonBeforeSending, ERROR_BACKOFF)
        } else {
            refuse(call.exchange, call.requestId, 504, reason, null, "attempts" to call.sendCount)
        }
    }

    /** Responds with [status] to a request that no server has answered. */
    fun refuse(
        exchange: CallerExchange,
        requestId: String?,
        status: Int,
        reason: String,
        retryAfter: Duration?,
        vararg details: Pair<String, Any?>,
    ) {
        val reply = HttpReply(status)
        if (requestId != null) reply.headers.set(headers.requestId, requestId)
        if (retryAfter != null && status == 503) {
            reply.headers.set(
                "Retry-After",
                "%.3f".format(
                    Locale.ROOT,
                    retryAfter.inWholeMilliseconds / 1_000.0,
                ),
            )
        }
        state.log.log(
            "request_refused",
            "id" to requestId,
            "status" to status,
            "reason" to reason,
            "configuration" to state.configuration?.version,
            "retry_after_ms" to retryAfter?.inWholeMilliseconds,
            "held_ms" to (ProcessClock.monotonic() - exchange.arrived).inWholeMilliseconds,
            *details,
        )
        metrics.requests.labelValues("any", "refused_$status").inc()
        exchange.respond(reply)
    }

    private companion object {
        /**
         * Retry-After when the recovery of a group cannot be estimated. A failed rank stalls its group for 1.5 s,
         * restarts and rejoins; callers honour a Retry-After of up to a third of their timeout of 8 s.
         */
        val GROUP_BACKOFF = 2_200.milliseconds

        /** Retry-After after a failure; by then, the failed server has been detected and is avoided. */
        val ERROR_BACKOFF = 400.milliseconds
    }
}
