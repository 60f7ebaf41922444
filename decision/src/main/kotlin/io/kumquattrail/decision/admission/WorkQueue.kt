package io.kumquattrail.decision.admission

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration

/** Orders the work that waits for one backend server. An implementation is used by one thread at a time. */
interface WorkQueue {
    /** Number of items that wait. */
    val size: Int

    /** Sum of the waiting items' costs in tokens. */
    val tokens: Long

    /** Takes [item] in, possibly in place of items that it returns as shed, or rejects it. */
    fun offer(
        item: WorkItem,
        now: MonotonicTime,
    ): QueueDecision

    /** Returns the item that is next, without removing it. */
    fun peek(now: MonotonicTime): WorkItem?

    /** Removes and returns the item that [peek] returns. */
    fun poll(now: MonotonicTime): WorkItem?

    /** Removes the item with [id], such as that of a caller that went away; returns whether it was there. */
    fun remove(id: WorkId): Boolean

    /** Removes and returns the items whose deadline has passed. */
    fun removeExpired(now: MonotonicTime): List<WorkItem>

    /** Removes and returns all items, such as when the server starts to leave. */
    fun drain(): List<WorkItem>
}

/** Says what a queue did with an offered item. */
sealed interface QueueDecision {
    /** The item waits; the items in [shed] were removed to make room and have not run. */
    data class Accepted(
        val shed: List<WorkItem> = emptyList(),
    ) : QueueDecision

    /** The item does not wait and has not run; a new attempt may succeed after [retryAfter]. */
    data class Rejected(
        val retryAfter: Duration,
    ) : QueueDecision
}
