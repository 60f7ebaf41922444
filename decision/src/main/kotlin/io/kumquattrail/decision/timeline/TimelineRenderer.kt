package io.kumquattrail.decision.timeline

import java.time.Instant

/** Renders a merged timeline for a reader. */
fun interface TimelineRenderer {
    /** Returns the complete text of [timeline]. */
    fun render(timeline: MergedTimeline): String
}

/** Formats the timestamp as UTC time with its counter. */
internal fun HybridTimestamp.format(): String =
    Instant.ofEpochMilli(milliseconds).toString() + if (counter > 0) "+$counter" else ""

/** Describes why the events of a process are incomplete. */
internal fun ProcessTimeline.gap(): String =
    listOfNotNull(
        failure?.label,
        if (dropped > 0) "$dropped events no longer kept" else null,
    ).joinToString("; ")
