package io.kumquattrail.decision.admission

import io.kumquattrail.decision.time.MonotonicTime
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Orders work by priority, then by arrival, and sheds the lowest priority first when it is full.
 *
 * @property maximumItems items that may wait.
 * @property maximumTokens tokens that may wait; a single larger item may wait alone.
 * @property retryAfter retry-after of rejected items.
 */
class PriorityWorkQueue(
    private val maximumItems: Int,
    private val maximumTokens: Long = Long.MAX_VALUE,
    private val retryAfter: Duration = 1.seconds,
) : WorkQueue {
    private class Entry(
        val item: WorkItem,
        val arrival: Long,
    )

    private val order =
        TreeSet(compareByDescending<Entry> { it.item.priority }.thenBy { it.arrival })
    private val entries = HashMap<WorkId, Entry>()
    private var arrivals = 0L

    override val size: Int get() = order.size

    override var tokens: Long = 0
        private set

    override fun offer(
        item: WorkItem,
        now: MonotonicTime,
    ): QueueDecision {
        val shed = itemsToShed(item) ?: return QueueDecision.Rejected(retryAfter)
        shed.forEach(::removeEntry)
        val entry = Entry(item, arrivals++)
        order += entry
        entries[item.id] = entry
        tokens += item.cost.total
        return QueueDecision.Accepted(shed.map { it.item })
    }

    override fun peek(now: MonotonicTime): WorkItem? = if (order.isEmpty()) null else order.first().item

    override fun poll(now: MonotonicTime): WorkItem? = peek(now)?.also { remove(it.id) }

    override fun remove(id: WorkId): Boolean = entries[id]?.also(::removeEntry) != null

    override fun removeExpired(now: MonotonicTime): List<WorkItem> =
        order.filter { it.item.deadline <= now }.onEach(::removeEntry).map { it.item }

    override fun drain(): List<WorkItem> = order.toList().onEach(::removeEntry).map { it.item }

    /** Returns the entries that make room for [item], or `null` when only entries of the same rank could. */
    private fun itemsToShed(item: WorkItem): List<Entry>? {
        var items = size
        var tokensLeft = tokens
        val shed = mutableListOf<Entry>()
        val candidates = order.descendingIterator()
        while (items >= maximumItems || (items > 0 && tokensLeft + item.cost.total > maximumTokens)) {
            val candidate = if (candidates.hasNext()) candidates.next() else return null
            if (candidate.item.priority >= item.priority) return null
            shed += candidate
            items -= 1
            tokensLeft -= candidate.item.cost.total
        }
        return shed
    }

    private fun removeEntry(entry: Entry) {
        order -= entry
        entries -= entry.item.id
        tokens -= entry.item.cost.total
    }
}
