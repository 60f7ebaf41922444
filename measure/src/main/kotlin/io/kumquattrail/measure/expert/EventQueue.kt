package io.kumquattrail.measure.expert

import io.kumquattrail.decision.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs callbacks in order of virtual time; callbacks of the same time run in the order in which they were added. */
internal class EventQueue {
    private class Event(
        val time: Long,
        val order: Long,
        val run: () -> Unit,
    )

    private val events = PriorityQueue(compareBy(Event::time, Event::order))
    private var added = 0L

    /** Virtual time. */
    var now: MonotonicTime = MonotonicTime.ZERO
        private set

    /** Adds a callback that runs after [delay]. */
    fun after(
        delay: Duration,
        run: () -> Unit,
    ) {
        events += Event((now + delay).nanoseconds, added++, run)
    }

    /** Runs callbacks until [end], or until [isDone], which is asked after each callback. */
    fun runUntil(
        end: MonotonicTime,
        isDone: () -> Boolean = { false },
    ) {
        while (!isDone()) {
            val next = events.peek()
            if (next == null || next.time > end.nanoseconds) {
                now = end
                return
            }
            events.poll()
            now = MonotonicTime(next.time)
            next.run()
        }
    }
}
