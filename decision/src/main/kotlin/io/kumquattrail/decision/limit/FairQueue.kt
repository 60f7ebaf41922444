package io.kumquattrail.decision.limit

import io.kumquattrail.decision.admission.QueueDecision
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.admission.WorkQueue
import io.kumquattrail.decision.time.MonotonicTime
import java.util.TreeMap
import java.util.TreeSet
import kotlin.math.absoluteValue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Queues work by weighted fair queueing over organisations, by token cost.
 *
 * A higher priority is served before a lower one, except that lower priorities keep a reserved share of the served
 * tokens and of the places. Within a priority, organisations share by weight; an organisation that sends at several
 * priorities has a share in each. An item is rejected when it would wait too long for its deadline or for the queue at
 * the measured drain rate. When all places are taken, the lowest priority loses first and, within it, the organisation that is furthest
 * over its share.
 *
 * Memory is proportional to the organisations that wait. An offer takes time proportional to the organisations that
 * wait at the item's priority, other calls logarithmic time.
 */
class FairQueue(
    private val settings: FairQueueSettings = FairQueueSettings(),
) : WorkQueue {
    private val levels = TreeMap<Int, PriorityLevel>()
    private val waitingById = HashMap<WorkId, WaitingItem>()
    private val byDeadline = TreeSet(compareBy<WaitingItem>({ it.item.deadline }, { it.sequence }))
    private val expired = LinkedHashMap<WorkId, WorkItem>()
    private val meter = DrainMeter(settings.initialTokensPerSecond, settings.rateWindow)
    private val reservedItems = maxOf(1, (settings.mostItems * settings.reservedShare).toInt())
    private var sequence = 0L
    private var waitingTokens = 0L
    private var reservedCredit = 0.0

    /** Number of items that wait, with expired items that [removeExpired] has not yet returned. */
    override val size: Int get() = waitingById.size + expired.size

    override val tokens: Long get() = waitingTokens

    /** Measured drain rate in tokens a second of busy time. */
    val tokensPerSecond: Double get() = meter.tokensPerSecond

    /** Number of organisations of which the queue holds any state. */
    val organisations: Int get() = levels.values.sumOf { it.organisations }

    override fun offer(
        item: WorkItem,
        now: MonotonicTime,
    ): QueueDecision {
        advance(now)
        if (item.id in waitingById) return QueueDecision.Accepted()
        if (item.deadline <= now) return QueueDecision.Rejected(settings.shortestRetryAfter)
        val level = levelOf(item.priority)
        val weight = maxOf(1, item.organisationWeight)
        val cost = WaitingItem.costOf(item)
        val wait = durationOf(level.tokensAhead(item.organisation, weight), level)
        if (wait >
            minOf(item.deadline - now, settings.longestWait)
        ) {
            return QueueDecision.Rejected(retryAfter(wait, item))
        }
        val shed = mutableListOf<WorkItem>()
        if (waitingById.size >= settings.mostItems) {
            val victim =
                victimFor(level, level.startOf(item.organisation, weight))
                    ?: return QueueDecision.Rejected(retryAfter(wait, item))
            discard(victim)
            shed += victim.item
        }
        val waiting = WaitingItem(item, sequence++, now)
        if (level.isEmpty) enterReserve(level)
        level.add(waiting, weight)
        waitingById[item.id] = waiting
        byDeadline.add(waiting)
        waitingTokens += cost
        if (shed.isEmpty() && level.mostOverShare() === waiting && isLate(level, waiting, now)) {
            discard(waiting)
            return QueueDecision.Rejected(retryAfter(wait, item))
        }
        shed += shedLate(level, waiting, now)
        return QueueDecision.Accepted(shed)
    }

    override fun peek(now: MonotonicTime): WorkItem? {
        advance(now)
        return nextLevel()?.head()?.item
    }

    override fun poll(now: MonotonicTime): WorkItem? {
        advance(now)
        val level = nextLevel() ?: return null
        val waiting = level.head() ?: return null
        val cost = waiting.cost
        account(level, cost)
        level.serve(waiting)
        forget(waiting)
        if (waiting.enqueued < now) {
            meter.drained(cost)
            level.meter.drained(cost)
        }
        return waiting.item
    }

    override fun remove(id: WorkId): Boolean {
        if (expired.remove(id) != null) return true
        val waiting = waitingById[id] ?: return false
        discard(waiting)
        return true
    }

    override fun removeExpired(now: MonotonicTime): List<WorkItem> {
        advance(now)
        return expired.values.toList().also { expired.clear() }
    }

    override fun drain(): List<WorkItem> {
        val all = expired.values + waitingById.values.sortedBy { it.sequence }.map { it.item }
        expired.clear()
        waitingById.clear()
        byDeadline.clear()
        levels.values.forEach { it.clear() }
        waitingTokens = 0
        reservedCredit = 0.0
        return all
    }

    private fun advance(now: MonotonicTime) {
        meter.advance(now, busy = waitingById.isNotEmpty())
        levels.values.forEach { it.advance(now) }
        while (true) {
            val first = byDeadline.firstOrNull() ?: break
            if (first.item.deadline > now) break
            discard(first)
            expired[first.item.id] = first.item
        }
    }

    private fun levelOf(priority: Int): PriorityLevel {
        levels[priority]?.let { return it }
        if (levels.size >= MOST_LEVELS) levels.values.removeAll { it.isEmpty }
        val level =
            PriorityLevel(
                priority = priority,
                mostRemembered = settings.mostItems,
                meter = DrainMeter(meter.tokensPerSecond, settings.rateWindow),
            )
        levels[priority] = level
        return level
    }

    private fun waitingLevels(): List<PriorityLevel> = levels.values.filterNot { it.isEmpty }

    /** Chooses the highest priority, or a lower one when the reserved share owes it service. */
    private fun nextLevel(): PriorityLevel? {
        val waiting = waitingLevels()
        if (waiting.size <= 1 || reservedCredit <= 0.0) return waiting.lastOrNull()
        return waiting.dropLast(1).minBy { it.reservedTokens }
    }

    private fun account(
        level: PriorityLevel,
        cost: Long,
    ) {
        val waiting = waitingLevels()
        when {
            waiting.size <= 1 -> {
                reservedCredit = minOf(reservedCredit, 0.0)
            }

            level === waiting.last() -> {
                reservedCredit += cost * settings.reservedShare / (1.0 - settings.reservedShare)
            }

            else -> {
                reservedCredit -= cost
                level.reservedTokens += cost.toDouble() / maxOf(1L, level.weight)
            }
        }
    }

    /** A level that starts to wait is not owed the reserved service of the time in which it did not wait. */
    private fun enterReserve(level: PriorityLevel) {
        val least = waitingLevels().minOfOrNull { it.reservedTokens } ?: return
        level.reservedTokens = maxOf(level.reservedTokens, least)
    }

    /** Finds the item that gives way to a new item at [level] with virtual [start], or `null` when none does. */
    private fun victimFor(
        level: PriorityLevel,
        start: Double,
    ): WaitingItem? {
        val waiting = waitingLevels()
        val lower = waiting.takeWhile { it.priority < level.priority }
        if (lower.sumOf { it.items } > reservedItems) return lower.first().mostOverShare()
        if (!level.isEmpty && level.latestStart() > start) return level.mostOverShare()
        val higher = waiting.dropWhile { it.priority <= level.priority }
        val upToLevel = waiting.takeWhile { it.priority <= level.priority }.sumOf { it.items }
        return if (upToLevel < reservedItems) higher.firstOrNull()?.mostOverShare() else null
    }

    /** Sheds items of the organisation furthest over its share that [added] has pushed beyond their time. */
    private fun shedLate(
        level: PriorityLevel,
        added: WaitingItem,
        now: MonotonicTime,
    ): List<WorkItem> =
        buildList {
            while (true) {
                val last = level.mostOverShare()?.takeIf { it !== added && isLate(level, it, now) } ?: break
                discard(last)
                add(last.item)
            }
        }

    /** Tells whether [last], the last item to be served at [level], would be served too late. */
    private fun isLate(
        level: PriorityLevel,
        last: WaitingItem,
        now: MonotonicTime,
    ): Boolean {
        val wait = durationOf((level.tokens - last.cost).toDouble(), level)
        return now + wait > latestStartTime(last.item, level, last.enqueued)
    }

    /**
     * Time until which [item] may wait. Only the highest waiting priority has the bound of the queue: the reserved share
     * is slow, and within that bound a lower priority would hold too few items to share fairly.
     */
    private fun latestStartTime(
        item: WorkItem,
        level: PriorityLevel,
        enqueued: MonotonicTime,
    ): MonotonicTime {
        val isHighest =
            levels.lastEntry().value === level || levels.tailMap(level.priority, false).values.all { it.isEmpty }
        return if (isHighest) minOf(item.deadline, enqueued + settings.longestWait) else item.deadline
    }

    private fun discard(waiting: WaitingItem) {
        levels.getValue(waiting.item.priority).discard(waiting)
        forget(waiting)
    }

    private fun forget(waiting: WaitingItem) {
        waitingById.remove(waiting.item.id)
        byDeadline.remove(waiting)
        waitingTokens -= waiting.cost
    }

    private fun durationOf(
        tokens: Double,
        level: PriorityLevel,
    ): Duration = (tokens / level.meter.tokensPerSecond).seconds

    /** Spreads retries over a quarter of the wait, because callers rejected together would return together. */
    private fun retryAfter(
        wait: Duration,
        item: WorkItem,
    ): Duration {
        val spread = 1.0 + SPREAD * (item.id.hashCode().absoluteValue % SPREAD_STEPS) / SPREAD_STEPS
        val base = wait.coerceIn(settings.shortestRetryAfter, settings.longestRetryAfter)
        return (base.toDouble(DurationUnit.SECONDS) * spread).seconds
    }

    private companion object {
        const val MOST_LEVELS = 16
        const val SPREAD = 0.25
        const val SPREAD_STEPS = 1_000
    }
}
