package io.kumquattrail.decision.timeline

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName

/**
 * Holds an event of any process in the form in which it is sent and merged, including kinds that are newer than this
 * program.
 *
 * @property sequence number of the event in its process, from 1 and without gaps.
 * @property process process that recorded the event.
 * @property zone availability zone of that process.
 */
data class TimelineEntry(
    val sequence: Long,
    val timestamp: HybridTimestamp,
    val process: ProcessName,
    val zone: ZoneName,
    val kind: String,
    val subject: String,
    val evidence: Map<String, String>,
)

/** Holds an [event] as its own process recorded it. */
data class RecordedEvent(
    val sequence: Long,
    val timestamp: HybridTimestamp,
    val event: TimelineEvent,
) {
    /** Returns the entry that is sent to readers of the timeline of [process] in [zone]. */
    fun toEntry(
        process: ProcessName,
        zone: ZoneName,
    ): TimelineEntry =
        TimelineEntry(
            sequence = sequence,
            timestamp = timestamp,
            process = process,
            zone = zone,
            kind = event.kind,
            subject = event.subject,
            evidence = event.evidence,
        )
}
