package io.kumquattrail.demo

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts the outcomes of a demo's requests. */
class DemoCounters {
    val requests = AtomicInteger()
    val whole = AtomicInteger()
    val refusedNotRun = AtomicInteger()
    val refusedUnknown = AtomicInteger()
    val torn = AtomicInteger()

    /** Refusals by the last segment of their type. */
    val refusals = ConcurrentHashMap<String, AtomicInteger>()
}

/**
 * Holds the figures of a demo run.
 *
 * @property refusals refusals by the last segment of their type.
 * @property torn answers that differ from what the engine generates for the prompt, or that broke off.
 * @property doubleRuns postings that the ledger ran more than once.
 * @property zoneNewWorkAfterMilliseconds time from publication to the last new work in the zone, or 0 for none.
 */
data class DemoReport(
    val requests: Int,
    val whole: Int,
    val refusedNotRun: Int,
    val refusedUnknown: Int,
    val torn: Int,
    val doubleRuns: Int,
    val zoneNewWorkAfterMilliseconds: Long,
    val refusals: Map<String, Int> = emptyMap(),
) {
    /** Returns the members of the demo's last line of JSON. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            "requests" to requests,
            "whole" to whole,
            "refused_not_run" to refusedNotRun,
            "refused_unknown" to refusedUnknown,
            "torn" to torn,
            "double_runs" to doubleRuns,
            "zone_new_work_after_ms" to zoneNewWorkAfterMilliseconds,
            "refusals" to refusals,
        )
}
