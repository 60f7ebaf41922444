package io.kumquattrail.measure.limit

import io.kumquattrail.decision.admission.QueueDecision
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.admission.WorkQueue
import io.kumquattrail.decision.time.MonotonicTime

/** Serves work in order of arrival without any bound, as the baseline. */
internal class FirstInFirstOutQueue : WorkQueue {
    private val items = LinkedHashMap<WorkId, WorkItem>()

    override val size: Int get() = items.size

    override var tokens = 0L
        private set

    override fun offer(
        item: WorkItem,
        now: MonotonicTime,
    ): QueueDecision {
        if (items.put(item.id, item) == null) tokens += item.cost.total
        return QueueDecision.Accepted()
    }

    override fun peek(now: MonotonicTime): WorkItem? = items.values.firstOrNull()

    override fun poll(now: MonotonicTime): WorkItem? = peek(now)?.also { remove(it.id) }

    override fun remove(id: WorkId): Boolean {
        val item = items.remove(id) ?: return false
        tokens -= item.cost.total
        return true
    }

    override fun removeExpired(now: MonotonicTime): List<WorkItem> = emptyList()

    override fun drain(): List<WorkItem> =
        items.values.toList().also {
            items.clear()
            tokens = 0
        }
}
