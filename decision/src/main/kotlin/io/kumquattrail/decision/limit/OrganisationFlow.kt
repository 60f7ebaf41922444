package io.kumquattrail.decision.limit

import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.time.MonotonicTime

/** Holds an item that waits, with its place in the queue. */
internal class WaitingItem(
    val item: WorkItem,
    val sequence: Long,
    val enqueued: MonotonicTime,
) {
    val cost: Long get() = costOf(item)

    companion object {
        /** A request without tokens still costs one, so that it cannot pass the queue for free. */
        fun costOf(item: WorkItem): Long = maxOf(1L, item.cost.total.toLong())
    }
}

/**
 * Holds the items of one organisation that wait at one priority, in order of arrival.
 *
 * @property sequence breaks ties between flows by age, so that no organisation loses every tie.
 */
internal class OrganisationFlow(
    val organisation: OrganisationName,
    var weight: Int,
    var start: Double,
    val sequence: Long,
) {
    val items = ArrayDeque<WaitingItem>()
    var tokens = 0L

    /**
     * Virtual time at which the last waiting item would start. How far an organisation is over its share is told by this
     * time and not by the finish time, which would shed the only item of a light organisation before the third of a
     * heavy one.
     */
    val lastStart: Double get() = start + (tokens - items.last().cost).toDouble() / weight

    /** Tokens of this flow that are served before virtual time [until], at least those of the first item. */
    fun tokensUntil(until: Double): Double =
        maxOf(items.first().cost.toDouble(), minOf(tokens.toDouble(), (until - start) * weight))
}
