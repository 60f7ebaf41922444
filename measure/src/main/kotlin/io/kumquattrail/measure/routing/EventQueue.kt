package io.kumquattrail.measure.routing

import io.kumquattrail.decision.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in order of virtual time; actions of the same time run in order of their scheduling. */
internal class EventQueue {
    private class Entry(
        val time: Long,
        val number: Long,
        val action: () -> Unit,
    )

    private val entries = PriorityQueue<Entry>(compareBy<Entry> { it.time }.thenBy { it.number })
    private var scheduled = 0L

    /** Virtual time. */
    var now = MonotonicTime.ZERO
        private set

    fun at(
        time: MonotonicTime,
        action: () -> Unit,
    ) {
        entries += Entry(maxOf(time, now).nanoseconds, scheduled++, action)
    }

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) = at(now + delay, action)

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

    /** Runs all actions up to [end]. */
    fun runUntil(end: MonotonicTime) {
        while (entries.isNotEmpty() && entries.peek().time <= end.nanoseconds) {
            val entry = entries.poll()
            now = MonotonicTime(entry.time)
            entry.action()
        }
        now = end
    }
}
