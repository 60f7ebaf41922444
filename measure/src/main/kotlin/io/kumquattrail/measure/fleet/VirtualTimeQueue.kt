package io.kumquattrail.measure.fleet

import io.kumquattrail.decision.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs events in order of virtual time; events of the same time run in the order in which they were scheduled. */
internal class VirtualTimeQueue {
    private val events = PriorityQueue<Event>()
    private var scheduled = 0L

    var now: MonotonicTime = MonotonicTime.ZERO
        private set

    fun at(
        time: MonotonicTime,
        run: () -> Unit,
    ) {
        scheduled += 1
        events += Event(maxOf(time, now), scheduled, run)
    }

    fun after(
        delay: Duration,
        run: () -> Unit,
    ) = at(now + delay, run)

    fun runUntil(end: MonotonicTime) {
        while (true) {
            val next = events.peek()
            if (next == null || next.at > end) break
            events.poll()
            now = next.at
            next.run()
        }
        now = end
    }

    private class Event(
        val at: MonotonicTime,
        val number: Long,
        val run: () -> Unit,
    ) : Comparable<Event> {
        override fun compareTo(other: Event): Int {
            val byTime = at.nanoseconds.compareTo(other.at.nanoseconds)
            return if (byTime != 0) byTime else number.compareTo(other.number)
        }
    }
}
