package io.kumquattrail.measure.warning

import kotlin.math.ceil

/**
 * Counts the warnings of simulated days.
 *
 * @property falseByEvent false warnings by the label of the event that they coincide with.
 * @property missedByEvent events without a warning by their label.
 */
internal data class DayOutcome(
    val events: Int,
    val harmless: Int,
    val warnings: Int,
    val delaysSeconds: List<Int>,
    val falseByEvent: Map<String, Int>,
    val missedByEvent: Map<String, Int>,
) {
    val precision: Double get() = if (warnings == 0) 1.0 else 1.0 - falseByEvent.values.sum().toDouble() / warnings
    val recall: Double get() = if (events == 0) 1.0 else delaysSeconds.size.toDouble() / events
    val delayP95Seconds: Double
        get() = delaysSeconds.sorted().getOrElse(ceil(delaysSeconds.size * P95).toInt() - 1) { 0 }.toDouble()

    operator fun plus(other: DayOutcome): DayOutcome =
        DayOutcome(
            events = events + other.events,
            harmless = harmless + other.harmless,
            warnings = warnings + other.warnings,
            delaysSeconds = delaysSeconds + other.delaysSeconds,
            falseByEvent = sum(falseByEvent, other.falseByEvent),
            missedByEvent = sum(missedByEvent, other.missedByEvent),
        )

    fun toMap(): Map<String, Any?> =
        mapOf(
            "events" to events,
            "harmless_events" to harmless,
            "warnings" to warnings,
            "precision" to precision,
            "recall" to recall,
            "delay_p95_s" to delayP95Seconds,
            "false_by_event" to falseByEvent,
            "missed_by_event" to missedByEvent,
        )

    private fun sum(
        first: Map<String, Int>,
        second: Map<String, Int>,
    ): Map<String, Int> = (first.keys + second.keys).associateWith { (first[it] ?: 0) + (second[it] ?: 0) }

    private companion object {
        const val P95 = 0.95
    }
}
