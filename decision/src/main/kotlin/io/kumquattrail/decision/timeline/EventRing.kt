package io.kumquattrail.decision.timeline

import io.kumquattrail.decision.time.WallTime

/**
 * Keeps the newest events of a process in bounded memory.
 *
 * Events that follow each request have their own space, so that traffic does not displace the few events about zones,
 * maps and configuration. The ring is safe for concurrent use; an append takes one short critical section, in which the
 * event also receives its timestamp, so that sequence numbers and timestamps have the same order.
 *
 * @param requestCapacity number of per-request events that are kept.
 * @param controlCapacity number of other events that are kept.
 */
class EventRing(
    private val clock: HybridLogicalClock,
    requestCapacity: Int = 4_096,
    controlCapacity: Int = 1_024,
) {
    private val requests = Ring(requestCapacity)
    private val controls = Ring(controlCapacity)
    private var lastSequence = 0L

    /** Records [event] at wall time [wall] and returns it with its sequence number and timestamp. */
    @Synchronized
    fun append(
        event: TimelineEvent,
        wall: WallTime,
    ): RecordedEvent {
        val recorded = RecordedEvent(lastSequence + 1, clock.next(wall), event)
        lastSequence = recorded.sequence
        (if (event.isPerRequest) requests else controls).add(recorded)
        return recorded
    }

    /** Returns at most [most] kept events with sequence numbers above [after], the oldest first. */
    @Synchronized
    fun read(
        after: Long = 0,
        most: Int = Int.MAX_VALUE,
    ): EventBatch {
        // A reader that knows a higher number than was given out read a previous run of this process.
        val start = if (after > lastSequence) 0 else after
        val kept = mergeBySequence(requests.after(start), controls.after(start))
        val events = kept.take(most)
        val covered = if (events.size < kept.size) events.lastOrNull()?.sequence ?: start else lastSequence
        return EventBatch(events = events, nextAfter = covered, dropped = covered - start - events.size)
    }

    private fun mergeBySequence(
        first: List<RecordedEvent>,
        second: List<RecordedEvent>,
    ): List<RecordedEvent> =
        when {
            first.isEmpty() -> second
            second.isEmpty() -> first
            else -> (first + second).sortedBy { it.sequence }
        }

    private class Ring(
        capacity: Int,
    ) {
        private val slots = arrayOfNulls<RecordedEvent>(capacity)
        private var added = 0L

        init {
            require(capacity > 0) { "A ring needs room for at least one event." }
        }

        fun add(event: RecordedEvent) {
            slots[(added % slots.size).toInt()] = event
            added += 1
        }

        fun after(sequence: Long): List<RecordedEvent> {
            val oldest = (added - slots.size).coerceAtLeast(0)
            var position = added
            while (position > oldest && at(position - 1).sequence > sequence) position -= 1
            return (position until added).map(::at)
        }

        private fun at(position: Long): RecordedEvent = checkNotNull(slots[(position % slots.size).toInt()])
    }
}

/**
 * Holds a part of a process's events.
 *
 * @property nextAfter sequence number after which the next read continues.
 * @property dropped number of events in the range of this batch that are no longer kept.
 */
data class EventBatch(
    val events: List<RecordedEvent>,
    val nextAfter: Long,
    val dropped: Long,
)
