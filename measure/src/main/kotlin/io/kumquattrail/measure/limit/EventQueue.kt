package io.kumquattrail.measure.limit

import io.kumquattrail.decision.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in the order of their virtual times; actions of the same time run in the order of scheduling. */
internal class EventQueue {
    private val events = PriorityQueue(compareBy<Event>({ it.time }, { it.sequence }))
    private var sequence = 0L

    var now: MonotonicTime = MonotonicTime.ZERO
        private set

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events += Event(now + delay, sequence++, action)
    }

    /** Runs [action] every [interval], first after [offset]. */
    fun every(
        interval: Duration,
        offset: Duration,
        action: () -> Unit,
    ) {
        after(offset) {
            action()
            every(interval, interval, action)
        }
    }

    fun runUntil(end: MonotonicTime) {
        while (true) {
            val event = events.peek()?.takeIf { it.time <= end } ?: break
            events.remove()
            now = event.time
            event.action()
        }
    }

    private class Event(
        val time: MonotonicTime,
        val sequence: Long,
        val action: () -> Unit,
    )
}
