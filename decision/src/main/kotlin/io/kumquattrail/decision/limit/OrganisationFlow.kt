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

/** Holds the items of one organisation that wait at one priority, in order of arrival. */
internal class OrganisationFlow(
    val organisation: OrganisationName,
    var weight: Int,
    var start: Double,
) {
    val items = ArrayDeque<WaitingItem>()
    var tokens = 0L

    /** Virtual time at which the last waiting item would finish. */
    val finish: Double get() = start + tokens.toDouble() / weight
}
