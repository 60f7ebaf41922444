package io.kumquattrail.measure.idempotency

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/** Is a process or VM that can die and be paused; its state belongs to one [epoch]. */
open class Node {
    var epoch: Int = 0
    var isAlive: Boolean = true
    var pausedUntil: Duration = ZERO
}

/** Runs actions in order of virtual time, and those of a paused node when it resumes. */
class EventQueue {
    private class Event(
        val time: Duration,
        val number: Long,
        val node: Node?,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event>({ it.time }, { it.number }))
    private var count = 0L

    /** Virtual time since the start. */
    var now: Duration = ZERO
        private set

    /** Runs [action] on [node] after [delay]. */
    fun after(
        delay: Duration,
        node: Node? = null,
        action: () -> Unit,
    ) {
        events += Event(time = now + delay, number = count++, node = node, action = action)
    }

    /** Runs [action] after [delay] unless [node] has died by then. */
    fun afterOnSameEpoch(
        delay: Duration,
        node: Node,
        action: () -> Unit,
    ) {
        val epoch = node.epoch
        after(delay, node) { if (node.isAlive && node.epoch == epoch) action() }
    }

    /** Runs all events until none is left. */
    fun run() {
        while (true) {
            val event = events.poll() ?: return
            now = event.time
            val pause = (event.node?.pausedUntil ?: ZERO) - now
            if (pause.isPositive()) after(pause, event.node, event.action) else event.action()
        }
    }
}
