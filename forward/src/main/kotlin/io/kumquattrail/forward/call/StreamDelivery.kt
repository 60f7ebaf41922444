package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.delivery.StreamEvent
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.placement.GroupProgress
import io.kumquattrail.forward.http.ResponsePart
import io.kumquattrail.forward.http.endToEnd
import io.kumquattrail.forward.process.ProcessClock
import kotlin.time.Duration

/**
 * Passes the events of streams on to their callers, and gives a stream up that has stalled and may go on elsewhere.
 *
 * @property mostEventBytes longest event, in bytes.
 * @property onFirstByte called when a caller gets the first event of its stream.
 */
internal class StreamDelivery(
    private val groups: GroupProgress,
    private val rooms: RoomFinder,
    private val pauses: StreamPauses,
    private val mostEventBytes: Int,
    private val onFirstByte: (Call) -> Unit,
) {
    /** Delivers the stream that [server] writes, until it ends, breaks off or stalls. */
    suspend fun deliver(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
        response: AttemptStart.Answering,
    ): AttemptOutcome {
        call.cursor.nextRun()
        groups.streamBegan(server.name)
        try {
            return deliverEvents(call, server, attempt, response)
        } finally {
            groups.streamEnded(server.name)
        }
    }

    private suspend fun deliverEvents(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
        response: AttemptStart.Answering,
    ): AttemptOutcome {
        val mayMove = call.mayRunAgain
        var askedAt = ProcessClock.monotonic()
        while (true) {
            val now = ProcessClock.monotonic()
            // Bytes of an event that is not complete are no progress, also those that arrive as the patience ends.
            val stallsAt = maxOf(call.lastEventAt ?: askedAt, askedAt) + call.patience.limit
            if (mayMove && now >= stallsAt) {
                if (rooms.mayRepeat(call.service, now)) {
                    return AttemptOutcome.Failed(FailureKind.MAY_HAVE_RUN, "stream stalled", mayRepeat = true)
                }
                // Without a retry to spend, the stream may still go on where it is.
                askedAt = now
                continue
            }
            when (val part = attempt.next(if (mayMove) stallsAt - now else Duration.INFINITE)) {
                is ResponsePart.Body -> {
                    val fault = passOn(call, server.name, response, part.bytes)
                    if (fault != null) return AttemptOutcome.broken(fault)
                }

                ResponsePart.End -> {
                    if (call.cursor.hasPartialEvent) return AttemptOutcome.broken("stream ended inside an event")
                    if (!call.exchange.isStarted) call.exchange.start(response.status, response.headers.endToEnd())
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

    /** Passes on the events that [bytes] complete; returns what is wrong with them, or `null`. */
    private suspend fun passOn(
        call: Call,
        server: ServerName,
        response: AttemptStart.Answering,
        bytes: ByteArray,
    ): String? {
        call.cursor.accept(bytes).forEach { event ->
            when (event) {
                is StreamEvent.Deliver -> {
                    if (!call.exchange.isStarted) {
                        call.exchange.start(response.status, response.headers.endToEnd())
                        onFirstByte(call)
                    }
                    call.exchange.piece(event.bytes)
                    pauses.eventDelivered(call, server)
                }

                is StreamEvent.Duplicate -> {
                    Unit
                }

                is StreamEvent.Gap -> {
                    return "events ${event.last} to ${event.id} are missing"
                }
            }
        }
        val partial = call.cursor.partialBytes
        return when {
            partial > mostEventBytes -> "event of more than $partial bytes"
            call.cursor.repeatsWithoutEnd -> "old events without end"
            else -> null
        }
    }
}
