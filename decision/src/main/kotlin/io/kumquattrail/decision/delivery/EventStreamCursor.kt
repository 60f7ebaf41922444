package io.kumquattrail.decision.delivery

import java.util.Arrays

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val INITIAL_BYTES = 512

// Old events beyond those that were delivered; the caller may have had some of an earlier response.
private const val REPEATED_MARGIN = 1_000

/** Says what a complete event of a stream means for the caller. */
sealed interface StreamEvent {
    /** The caller gets [bytes], which is the next event. */
    class Deliver(
        val id: Long?,
        val bytes: ByteArray,
    ) : StreamEvent

    /** The caller has event [id] already. */
    data class Duplicate(
        val id: Long,
    ) : StreamEvent

    /** Events between [last] and [id] are missing, so the stream cannot be continued from this run. */
    data class Gap(
        val last: Long,
        val id: Long,
    ) : StreamEvent
}

/**
 * Cuts the bytes of an event stream into complete events and keeps the position of the last one that was delivered.
 *
 * A server may stop in the middle of an event. Only complete events are delivered, so a run on another server can
 * continue after the last of them.
 *
 * @property lastId id of the last event that the caller has; `null` before the first.
 */
class EventStreamCursor(
    lastId: Long? = null,
) {
    /** Id of the last event that the caller has; `null` before the first. */
    var lastId: Long? = lastId
        private set

    /** Number of events that were delivered. */
    var delivered: Int = 0
        private set

    private var repeated = 0

    /** Whether the run has sent more old events than there were, as a run does that goes on without end. */
    val repeatsWithoutEnd: Boolean get() = repeated > delivered + REPEATED_MARGIN

    private var buffer = ByteArray(INITIAL_BYTES)
    private var length = 0

    /** Bytes that the run has sent of an event that is not complete. */
    val partialBytes: Int get() = length

    /** Whether the run has sent a part of an event that is not complete. */
    val hasPartialEvent: Boolean get() = length > 0

    /** Drops the incomplete event of a run that has ended, before another run continues. */
    fun nextRun() {
        length = 0
        repeated = 0
    }

    /** Takes in [bytes] of the present run and returns the events that are complete now. */
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

    private fun endOfEvent(
        from: Int,
        start: Int,
    ): Int {
        var index = maxOf(from, start)
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
        if (id != null && last != null) {
            if (id <= last) {
                repeated += 1
                return StreamEvent.Duplicate(id)
            }
            if (id > last + 1) return StreamEvent.Gap(last = last, id = id)
        }
        if (id != null) lastId = id
        delivered += 1
        return StreamEvent.Deliver(id = id, bytes = event)
    }

    private fun idOf(event: ByteArray): Long? =
        String(event, Charsets.ISO_8859_1)
            .lineSequence()
            .firstOrNull { it.startsWith("id:") }
            ?.substring(startIndex = 3)
            ?.trim()
            ?.toLongOrNull()
}
