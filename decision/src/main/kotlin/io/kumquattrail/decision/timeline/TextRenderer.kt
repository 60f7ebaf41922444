package io.kumquattrail.decision.timeline

/** Renders one line per event, after one line per process whose events are incomplete. */
object TextRenderer : TimelineRenderer {
    override fun render(timeline: MergedTimeline): String {
        val processWidth = timeline.entries.maxOfOrNull { it.process.value.length } ?: 0
        val kindWidth = timeline.entries.maxOfOrNull { it.kind.length } ?: 0
        val gaps = timeline.incomplete.map { "incomplete: ${it.process} (${it.zone}): ${it.gap()}" }
        val events =
            timeline.entries.map { entry ->
                listOf(
                    entry.timestamp.format(),
                    entry.zone.value,
                    entry.process.value.padEnd(processWidth),
                    entry.kind.padEnd(kindWidth),
                    entry.subject,
                    entry.evidence.entries.joinToString(" ") { (name, value) -> "$name=$value" },
                ).joinToString("  ") { it.replace(lineBreaks, " ") }.trimEnd()
            }
        return (gaps + events).joinToString(separator = "") { "$it\n" }
    }

    private val lineBreaks = Regex("[\\r\\n]+")
}
