package io.kumquattrail.decision.timeline

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName

/**
 * Holds what was read from one process.
 *
 * @property dropped number of events that the process no longer had.
 * @property failure why the process's events are missing or incomplete, or `null` when it answered.
 */
data class ProcessTimeline(
    val process: ProcessName,
    val zone: ZoneName,
    val entries: List<TimelineEntry> = emptyList(),
    val dropped: Long = 0,
    val failure: ReadFailure? = null,
)

/** Lists the reasons for which the events of a process are missing. [label] is a phrase for the reader. */
enum class ReadFailure(
    val label: String,
) {
    UNREACHABLE("not reachable"),
    TIMED_OUT("no answer in time"),
    BROKEN_OFF("answer broke off"),
}

/**
 * Selects entries; a property that is `null` selects all.
 *
 * @property request request id.
 * @property zone zone that an entry is about or in which it was recorded.
 * @property mapVersion version of an expert map.
 */
data class TimelineFilter(
    val request: String? = null,
    val zone: ZoneName? = null,
    val mapVersion: Long? = null,
) {
    /** Tells whether [entry] satisfies every given property. */
    fun selects(entry: TimelineEntry): Boolean =
        (request == null || entry.evidence[EvidenceName.REQUEST] == request) &&
            (zone == null || (entry.evidence[EvidenceName.ZONE] ?: entry.zone.value) == zone.value) &&
            (mapVersion == null || entry.evidence[EvidenceName.MAP_VERSION] == mapVersion.toString())
}

/**
 * Holds the events of several processes in causal order.
 *
 * @property processes processes that were read, in order of zone and name, without their entries.
 */
data class MergedTimeline(
    val entries: List<TimelineEntry>,
    val processes: List<ProcessTimeline>,
) {
    /** Processes whose events are incomplete. */
    val incomplete: List<ProcessTimeline> get() = processes.filter { it.failure != null || it.dropped > 0 }
}

/** Merges the events of several processes. */
object TimelineMerge {
    private val causalOrder = compareBy(TimelineEntry::timestamp, { it.process }, TimelineEntry::sequence)

    /** Merges [timelines] in causal order; an event that was read twice appears once. */
    fun merge(
        timelines: List<ProcessTimeline>,
        filter: TimelineFilter = TimelineFilter(),
    ): MergedTimeline =
        MergedTimeline(
            entries =
                timelines
                    .flatMap { it.entries }
                    .filter(filter::selects)
                    .distinctBy { Triple(it.process, it.sequence, it.timestamp) }
                    .sortedWith(causalOrder),
            processes =
                timelines
                    .groupBy { it.process }
                    .values
                    .map { parts ->
                        parts.first().copy(
                            entries = emptyList(),
                            dropped = parts.sumOf { it.dropped },
                            failure = parts.firstNotNullOfOrNull { it.failure },
                        )
                    }.sortedWith(compareBy({ it.zone }, { it.process })),
        )
}
