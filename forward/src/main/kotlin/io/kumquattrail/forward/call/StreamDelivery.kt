package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.delivery.StreamEvent
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.placement.GroupProgress
import io.kumquattrail.forward.http.ResponsePart
import io.kumquattrail.forward.http.endToEnd
import io.kumquattrail.forward.process.ProcessClock
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration

/** Reason of a failed attempt whose response ended together with its server. */
internal const val CUT_OFF_REASON = "response cut off by the end of its server"

/**
 * Passes the events of streams on to callers, and abandons an attempt whose stream has stalled if it may be resumed on
 * another server.
 *
 * @property maximumEventBytes longest event, in bytes.
 * @property onFirstByte called when the first event of a stream is sent to its caller.
 * @property isCutOff returns whether the end of the server has cut off a response that looks complete.
 */
internal class StreamDelivery(
    private val groups: GroupProgress,
    private val slotFinder: SlotFinder,
    private val pauses: StreamPauses,
    private val maximumEventBytes: Int,
    private val onFirstByte: (Call) -> Unit,
    private val isCutOff: suspend (Call, BackendServer, ServerAttempt) -> Boolean,
) {
    /** Delivers the stream that [server] sends, until it ends, breaks off or stalls. */
    suspend fun deliver(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
        response: AttemptStart.Responding,
    ): AttemptOutcome {
        call.streamHead?.let { first ->
            if (!continues(first, response)) {
                return AttemptOutcome.broken("status ${response.status} does not continue the stream")
            }
        }
        call.cursor.startNextRun()
        groups.onStreamStart(server.name)
        try {
            return deliverEvents(call, server, attempt, response)
        } finally {
            groups.onStreamEnd(server.name)
        }
    }

    /** Returns whether [next] is the head of another run of the stream that [first] began, and not of a failure. */
    private fun continues(
        first: AttemptStart.Responding,
        next: AttemptStart.Responding,
    ): Boolean {
        val type = mediaType(next)
        return next.status == first.status && (type == EVENT_STREAM || type == mediaType(first))
    }

    private fun mediaType(response: AttemptStart.Responding): String? =
        response.headers
            .get(HttpHeaderNames.CONTENT_TYPE)
            ?.substringBefore(';')
            ?.trim()
            ?.lowercase()

    private fun startExchange(
        call: Call,
        response: AttemptStart.Responding,
    ) {
        call.streamHead = response
        call.exchange.start(response.status, response.headers.endToEnd())
    }

    private suspend fun deliverEvents(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
        response: AttemptStart.Responding,
    ): AttemptOutcome {
        val mayResume = call.mayRunAgain
        var stallTimerStart = ProcessClock.monotonic()
        while (true) {
            val now = ProcessClock.monotonic()
            // Bytes of an incomplete event do not count as progress, even if they arrive as the stall timeout expires.
            val stallsAt = maxOf(call.lastEventAt ?: stallTimerStart, stallTimerStart) + call.stallTimeout.limit
            if (mayResume && now >= stallsAt) {
                if (slotFinder.takeRetry(call.service, now)) {
                    return AttemptOutcome.Failed(FailureKind.MAY_HAVE_RUN, "stream stalled", retryGranted = true)
                }
                // The retry budget is used up, but the server may still continue the stream.
                stallTimerStart = now
                continue
            }
            when (val part = attempt.next(if (mayResume) stallsAt - now else Duration.INFINITE)) {
                is ResponsePart.Body -> {
                    val fault = passOn(call, server.name, response, part.bytes)
                    if (fault != null) return AttemptOutcome.broken(fault)
                }

                is ResponsePart.End -> {
                    if (call.cursor.hasPartialEvent) return AttemptOutcome.broken("stream ended inside an event")
                    // Only a resumed stream may have no event left.
                    if (call.cursor.lastId == null && call.cursor.delivered == 0) {
                        return AttemptOutcome.broken("stream ended before its first event")
                    }
                    if (isCutOff(call, server, attempt)) return AttemptOutcome.broken(CUT_OFF_REASON)
                    if (!call.exchange.isStarted) startExchange(call, response)
                    call.exchange.end()
                    return AttemptOutcome.Finished(response.status)
                }

                is ResponsePart.Broken -> {
                    return AttemptOutcome.broken(part.reason)
                }

                is ResponsePart.Head -> {
                    return AttemptOutcome.broken("second head")
                }

                null -> {
                    Unit
                }
            }
        }
    }

    /** Passes on the events that [bytes] complete; returns a description of a fault in them, or `null`. */
    private suspend fun passOn(
        call: Call,
        server: ServerName,
        response: AttemptStart.Responding,
        bytes: ByteArray,
    ): String? {
        call.cursor.accept(bytes).forEach { event ->
            when (event) {
                is StreamEvent.Deliver -> {
                    if (!call.exchange.isStarted) {
                        startExchange(call, response)
                        onFirstByte(call)
                    }
                    call.exchange.sendBodyPart(event.bytes)
                    pauses.eventDelivered(call, server)
                }

                is StreamEvent.Duplicate -> {
                    Unit
                }

                StreamEvent.Unplaced -> {
                    return "event without an id in a resumed stream"
                }

                is StreamEvent.Gap -> {
                    return "events ${event.last} to ${event.id} are missing"
                }
            }
        }
        val partial = call.cursor.partialBytes
        return when {
            partial > maximumEventBytes -> "event of more than $partial bytes"
            call.cursor.exceedsDuplicateLimit -> "old events without end"
            else -> null
        }
    }

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
    }
}
