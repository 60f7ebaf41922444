package io.kumquattrail.decision.timeline

/** Renders one JSON object per line: incomplete processes first, then events. */
object JsonLinesRenderer : TimelineRenderer {
    override fun render(timeline: MergedTimeline): String =
        (timeline.incomplete.map(::incomplete) + timeline.entries.map(::event)).joinToString("") { "$it\n" }

    private fun incomplete(process: ProcessTimeline): String =
        jsonObject(
            "incomplete" to quoted(process.process.value),
            "zone" to quoted(process.zone.value),
            "dropped" to process.dropped.toString(),
            "failure" to (process.failure?.let { quoted(it.name.lowercase()) } ?: "null"),
        )

    private fun event(entry: TimelineEntry): String =
        jsonObject(
            "time_ms" to entry.timestamp.milliseconds.toString(),
            "counter" to entry.timestamp.counter.toString(),
            "process" to quoted(entry.process.value),
            "zone" to quoted(entry.zone.value),
            "sequence" to entry.sequence.toString(),
            "kind" to quoted(entry.kind),
            "subject" to quoted(entry.subject),
            "evidence" to
                jsonObject(*entry.evidence.map { (name, value) -> name to quoted(value) }.toTypedArray()),
        )

    private fun jsonObject(vararg members: Pair<String, String>): String =
        members.joinToString(",", "{", "}") { (name, value) -> "${quoted(name)}:$value" }

    private fun quoted(text: String): String =
        buildString {
            append('"')
            text.forEach { character ->
                when {
                    character == '"' || character == '\\' -> append('\\').append(character)
                    character < ' ' -> append("\\u").append(character.code.toString(16).padStart(4, '0'))
                    else -> append(character)
                }
            }
            append('"')
        }
}
