package io.kumquattrail.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.kumquattrail.demo.DemoCounters
import io.kumquattrail.demo.DemoLoad
import io.vertx.core.Vertx
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

/** Sends the demo's load to running gateways. */
class LoadCommand : CliktCommand(name = "load") {
    private val ports by option("--ports", help = "Ports of gateways on loopback, separated by commas")
        .int()
        .split(",")
        .required()
    private val duration by option("--duration", help = "Seconds of load")
        .int()
        .restrictTo(1..LONGEST_SECONDS)
        .default(DEFAULT_SECONDS)
    private val seed by option("--seed", help = "Seed of the load").long().default(1)

    override val hiddenFromHelp: Boolean = true

    override fun help(context: Context): String = "Send the demo's load to gateways on loopback; for scripts/fleet-run."

    override fun run() {
        val counters = DemoCounters()
        runBlocking(Dispatchers.Default) {
            coroutineScope { DemoLoad(Vertx.vertx(), ports, counters, seed).run(this, duration.seconds) }
        }
        val figures =
            mapOf(
                "requests" to counters.requests.get(),
                "whole" to counters.whole.get(),
                "refused_not_run" to counters.refusedNotRun.get(),
                "refused_unknown" to counters.refusedUnknown.get(),
                "torn" to counters.torn.get(),
                "refusals" to counters.refusals.mapValues { it.value.get() },
            )
        echo(figures.toJsonLine())
        exitProcess(0)
    }

    private companion object {
        const val DEFAULT_SECONDS = 20
        const val LONGEST_SECONDS = 600
    }
}
