package io.kumquattrail.decision.delivery

import java.util.Arrays

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val INITIAL_BUFFER_BYTES = 512

// Duplicates accepted in addition to the number of delivered events, because the caller may have received events in an
// earlier response.
private const val ADDITIONAL_DUPLICATE_EVENTS = 1_000

/** Complete event of a stream, by its position relative to the events that the caller has received. */
sealed interface StreamEvent {
    /**
     * The event is the next one; [bytes] must be written to the caller.
     *
     * @property id id of the event, or `null` if it has no numeric id.
     */
    class Deliver(
        val id: Long?,
        val bytes: ByteArray,
    ) : StreamEvent

    /** The caller has already received event [id]. */
    data class Duplicate(
        val id: Long,
    ) : StreamEvent

    /** The event has no numeric id, so that its place in a stream that several runs make up is unknown. */
    data object Unplaced : StreamEvent

    /** Events between [last] and [id] are missing, so the stream cannot be continued from this run. */
    data class Gap(
        val last: Long,
        val id: Long,
    ) : StreamEvent
}

/**
 * Splits the bytes of an event stream into complete events and keeps the id of the last delivered one.
 *
 * A server may stop in the middle of an event. Only complete events are delivered, so a run on another server can
 * continue after the last delivered one.
 *
 * @param lastId id of the last event that the caller has received, or `null` before the first.
 */
class EventStreamCursor(
    lastId: Long? = null,
) {
    /** Id of the last event that the caller has received, or `null` before the first. */
    var lastId: Long? = lastId
        private set

    /** Number of events delivered in all runs. */
    var delivered: Int = 0
        private set

    private var duplicates = 0
    private var isContinuation = false

    /** Whether another run can continue the stream. It cannot after an event without an id, which it would repeat. */
    var canContinue: Boolean = true
        private set

    /** Whether the run has sent more duplicates than the caller can have received events, and so may never end. */
    val exceedsDuplicateLimit: Boolean get() = duplicates > delivered + ADDITIONAL_DUPLICATE_EVENTS

    private var buffer = ByteArray(INITIAL_BUFFER_BYTES)
    private var length = 0

    /** Number of bytes received of an event that is not yet complete. */
    val partialBytes: Int get() = length

    /** Whether the run has sent a part of an event that is not yet complete. */
    val hasPartialEvent: Boolean get() = length > 0

    /** Discards the incomplete event of a run that has ended, before another run continues the stream. */
    fun startNextRun() {
        length = 0
        duplicates = 0
        isContinuation = delivered > 0 || lastId != null
    }

    /** Appends [bytes] of the current run and returns the events that they complete. */
    fun accept(bytes: ByteArray): List<StreamEvent> {
        if (length + bytes.size > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, length + bytes.size))
        bytes.copyInto(buffer, destinationOffset = length)
        var searchFrom = maxOf(0, length - 3)
        length += bytes.size
        val events = ArrayList<StreamEvent>(2)
        var start = 0
        while (true) {
            val end = endOfEvent(searchFrom, start)
            if (end < 0) break
            events += classify(Arrays.copyOfRange(buffer, start, end))
            start = end
            searchFrom = end
        }
        if (start > 0) {
            System.arraycopy(buffer, start, buffer, 0, length - start)
            length -= start
        }
        return events
    }

    /**
     * Returns the end of the event that begins at [eventStart], or -1 if the event is not yet complete.
     *
     * Positions below [searchFrom] are skipped, because earlier searches found no end there.
     */
    private fun endOfEvent(
        searchFrom: Int,
        eventStart: Int,
    ): Int {
        var index = maxOf(searchFrom, eventStart)
        while (index < length) {
            if (buffer[index] == LINE_FEED) {
                val next = if (index + 1 < length && buffer[index + 1] == CARRIAGE_RETURN) index + 2 else index + 1
                if (next < length && buffer[next] == LINE_FEED) return next + 1
            }
            index += 1
        }
        return -1
    }

    private fun classify(event: ByteArray): StreamEvent {
        val id = idOf(event)
        val last = lastId
        if (id == null && !isComment(event)) {
            if (isContinuation) return StreamEvent.Unplaced
            canContinue = false
        }
        if (id != null && last != null) {
            if (id <= last) {
                duplicates += 1
                return StreamEvent.Duplicate(id)
            }
            if (id > last + 1) return StreamEvent.Gap(last = last, id = id)
        }
        if (id != null) lastId = id
        delivered += 1
        return StreamEvent.Deliver(id = id, bytes = event)
    }

    /** Returns whether [event] consists of comments and blank lines, which carry nothing. */
    private fun isComment(event: ByteArray): Boolean =
        String(event, Charsets.ISO_8859_1).lineSequence().all { it.isBlank() || it.startsWith(':') }

    private fun idOf(event: ByteArray): Long? =
        String(event, Charsets.ISO_8859_1)
            .lineSequence()
            .firstOrNull { it.startsWith("id:") }
            ?.substring(startIndex = 3)
            ?.trim()
            ?.toLongOrNull()
}
