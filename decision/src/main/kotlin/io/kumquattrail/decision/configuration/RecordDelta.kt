package io.kumquattrail.decision.configuration

/**
 * Holds every entry whose revision is above [from] and at most [to], in order of revision.
 *
 * A delta is complete for the kinds that [subscription] includes. An entry that a later one replaced may be missing,
 * unless the later one was rejected and the earlier one is therefore still in effect.
 */
data class RecordDelta(
    val from: Long,
    val to: Long,
    val entries: List<PublishedEntry>,
    val subscription: RecordSubscription = RecordSubscription.ALL,
) {
    /** Number of bytes of the entries' names and values. */
    val size: Int by lazy { entries.sumOf { it.kind.length + it.name.length + it.value.size } }
}
