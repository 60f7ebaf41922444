package io.kumquattrail.measure.matrix

import io.kumquattrail.measure.MeasurementOptions
import java.io.File

/** Runs the measurement with the seed in the second argument and writes the page to the path in the first. */
fun main(arguments: Array<String>) {
    val (path, seed) = arguments
    File(path).writeText(FaultMatrixPage.render(FaultMatrixMeasurement.run(MeasurementOptions(seed.toLong()))))
}

/** Renders the result of a run of [FaultMatrixMeasurement] as the page `docs/fault-matrix.md`. */
object FaultMatrixPage {
    /** Returns the page in Markdown. */
    fun render(result: Map<String, Any?>): String =
        buildString {
            val seed = result["seed"]
            appendLine("# Fault matrix")
            appendLine()
            appendLine("Made by `bin/kumquattrail measure fault-matrix --seed $seed --json`; do not edit by hand.")
            appendLine("Each cell runs decision code under virtual time with one fault, the same fault twice, or two")
            appendLine("different faults, the first of them at the named step. The same seed gives the same page.")
            appendLine()
            val counts = listOf("cells", "passed", "failed", "empty").joinToString(", ") { "$it ${result[it]}" }
            appendLine("Totals: $counts.")
            appendLine()
            appendLine("| Protocol | Asserts | Steps | Passed | Failed | Empty |")
            appendLine("| --- | --- | --- | --- | --- | --- |")
            val protocols = rows(result["protocols"])
            protocols.forEach { row ->
                val steps = (row["steps"] as List<*>).joinToString(", ") { "`$it`" }
                appendLine(
                    "| `${row["protocol"]}` | ${row["asserts"]} | $steps | " +
                        "${row["passed"]} | ${row["failed"]} | ${row["empty"]} |",
                )
            }
            appendLine()
            appendLine("## Empty cells")
            appendLine()
            appendLine("A pair is empty when one of its faults makes no sense in the protocol.")
            appendLine()
            protocols.forEach { row ->
                (row["empty_reasons"] as Map<*, *>).forEach { (fault, reason) ->
                    appendLine("- `${row["protocol"]}`, `$fault`: $reason")
                }
            }
            appendLine()
            appendLine("## Failed cells")
            appendLine()
            val failed = rows(result["results"])
            if (failed.isEmpty()) appendLine("None.")
            failed.forEach { row ->
                val violations = (row["violations"] as List<*>).joinToString("; ")
                appendLine("- `${row["protocol"]}`, `${row["step"]}`, `${row["faults"]}`: $violations")
            }
        }

    private fun rows(value: Any?): List<Map<*, *>> = (value as List<*>).map { it as Map<*, *> }
}
