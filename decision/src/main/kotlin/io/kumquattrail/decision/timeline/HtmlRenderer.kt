package io.kumquattrail.decision.timeline

/**
 * Renders one self-contained HTML page: a lane for each process, time from top to bottom, evidence on demand and a box
 * that filters events by any text. The page loads nothing from outside.
 */
object HtmlRenderer : TimelineRenderer {
    override fun render(timeline: MergedTimeline): String =
        buildString {
            val lanes = timeline.processes
            val columns = lanes.withIndex().associate { (index, lane) -> lane.process to index + 2 }
            append(HEAD)
            append(
                "<style>.row{grid-template-columns:14em repeat(${lanes.size.coerceAtLeast(
                    1,
                )},minmax(14em,1fr))}</style>\n",
            )
            append("<header><h1>Timeline</h1>")
            append("<label>Filter <input id=\"filter\" type=\"search\" placeholder=\"request, zone, kind …\"></label> ")
            append("<output id=\"count\">${timeline.entries.size} events</output></header>\n")
            if (timeline.incomplete.isNotEmpty()) {
                append("<section class=\"gaps\"><h2>Incomplete</h2><ul>")
                timeline.incomplete.forEach { append("<li>${escaped("${it.process}: ${it.gap()}")}</li>") }
                append("</ul></section>\n")
            }
            append("<main>\n<div class=\"row lanes\"><div>UTC</div>")
            lanes.forEach {
                append(
                    "<div>${escaped(it.process.value)}<br><small>${escaped(it.zone.value)}</small></div>",
                )
            }
            append("</div>\n")
            timeline.entries.forEach { append(row(it, columns[it.process] ?: 2)) }
            append("</main>\n")
            append(SCRIPT)
        }

    private fun row(
        entry: TimelineEntry,
        column: Int,
    ): String =
        buildString {
            append("<div class=\"row event\"><time>${entry.timestamp.format()}</time>")
            append("<details class=\"${colour(entry.kind)}\" style=\"grid-column:$column\">")
            append("<summary><b>${escaped(entry.kind)}</b> ${escaped(entry.subject)}</summary><dl>")
            append("<dt>process</dt><dd>${escaped(entry.process.value)} #${entry.sequence}</dd>")
            entry.evidence.forEach { (name, value) -> append("<dt>${escaped(name)}</dt><dd>${escaped(value)}</dd>") }
            append("</dl></details></div>\n")
        }

    private fun colour(kind: String): String =
        when (kind.substringBefore('_')) {
            "warning" -> "warning"
            "zone", "drain" -> "zone"
            "request", "attempt", "stream", "key" -> "request"
            "map" -> "map"
            else -> "other"
        }

    private fun escaped(text: String): String =
        buildString {
            text.forEach { character ->
                when (character) {
                    '&' -> append("&amp;")
                    '<' -> append("&lt;")
                    '>' -> append("&gt;")
                    '"' -> append("&quot;")
                    '\'' -> append("&#39;")
                    else -> append(character)
                }
            }
        }

    private val HEAD =
        """
        <!DOCTYPE html>
        <html lang="en"><head><meta charset="utf-8"><title>Timeline</title>
        <style>
        body{font:13px/1.4 system-ui,sans-serif;margin:0}
        header{padding:.5em 1em;display:flex;gap:2em;align-items:center;border-bottom:1px solid #ccc}
        h1{font-size:1.2em;margin:0}h2{font-size:1em;margin:0}
        .gaps{padding:.5em 1em;background:#fff3cd}
        main{overflow-x:auto}
        .row{display:grid;gap:.5em;padding:0 1em}
        .lanes{position:sticky;top:0;background:#f4f4f4;font-weight:bold;padding-block:.3em}
        .event:nth-child(odd){background:#fafafa}
        .event[hidden]{display:none}
        time{font-family:monospace;color:#555}
        details{border-left:4px solid #999;padding-left:.4em;overflow-wrap:anywhere}
        details.warning{border-color:#c0392b}details.zone{border-color:#e67e22}
        details.request{border-color:#2980b9}details.map{border-color:#27ae60}
        dl{display:grid;grid-template-columns:auto 1fr;gap:0 1em;margin:.2em 0}dt{color:#555}dd{margin:0}
        </style>
        </head><body>
        """.trimIndent() + "\n"

    private val SCRIPT =
        """
        <script>
        const rows = [...document.querySelectorAll('.event')].map(row => [row, row.textContent.toLowerCase()]);
        const box = document.getElementById('filter');
        box.addEventListener('input', () => {
          const words = box.value.toLowerCase().split(/\s+/).filter(Boolean);
          let shown = 0;
          for (const [row, text] of rows) {
            row.hidden = !words.every(word => text.includes(word));
            if (!row.hidden) shown += 1;
          }
          document.getElementById('count').textContent = shown + ' events';
        });
        </script>
        </body></html>
        """.trimIndent() + "\n"
}
