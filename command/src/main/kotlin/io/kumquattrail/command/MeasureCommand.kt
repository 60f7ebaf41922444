package io.kumquattrail.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.kumquattrail.demo.OverheadMeasurement
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import io.kumquattrail.measure.Measurements
import kotlin.system.exitProcess

/** Runs one measurement. */
class MeasureCommand : CliktCommand(name = "measure") {
    private val measurement by argument(help = "Name of the measurement")
    private val seed by option("--seed", help = "Seed of every random decision").long().default(1)
    private val ranks by option("--ranks", help = "Ranks of a group, where the measurement takes it").int()
    private val json by option("--json", help = "Print only the last line").flag()

    override fun help(context: Context): String =
        "Run a measurement; the last line is JSON. Exit codes: 0 measured, 1 unknown measurement."

    override fun helpEpilog(context: Context): String =
        "Measurements: " + ALL.joinToString("; ") { "${it.name} (${it.summary})" }

    override fun run() {
        val found =
            ALL.find { it.name == measurement }
                ?: throw UsageError("unknown measurement '$measurement'; known: ${ALL.joinToString { it.name }}")
        val options = MeasurementOptions(seed, ranks, progress = { if (!json) echo(it) })
        echo(found.run(options).toJsonLine())
        exitProcess(0)
    }

    private companion object {
        val ALL: List<Measurement> = Measurements.all + OverheadMeasurement()
    }
}
