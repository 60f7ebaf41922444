package io.kumquattrail.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.kumquattrail.demo.Demo
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

/** Runs a small fleet with stand-ins on loopback. */
class DemoCommand : CliktCommand(name = "demo") {
    private val duration by option("--duration", help = "Seconds of load; 0 serves without load until SIGTERM")
        .int()
        .restrictTo(0..LONGEST_SECONDS)
        .default(DEFAULT_SECONDS)
    private val port by option("--port", help = "Port of the first gateway; the second takes the next one")
        .int()
        .restrictTo(1..HIGHEST_PORT)
        .default(DEFAULT_PORT)
    private val seed by option("--seed", help = "Seed of the load").long().default(1)

    override fun help(context: Context): String =
        "Run gateways, agents and stand-ins on loopback, without TLS. The last line is JSON. Exit codes: 0 every " +
            "guarantee held, 1 an answer was incomplete or a posting ran twice."

    override fun run() {
        val report =
            runBlocking {
                Demo(duration.seconds, port, seed).run { ready ->
                    echo("demo: plain text on loopback, no TLS files are set")
                    echo(ready.toJsonLine())
                }
            }
        echo(report.toMap().toJsonLine())
        exitProcess(if (report.torn == 0 && report.doubleRuns == 0) 0 else 1)
    }

    private companion object {
        const val DEFAULT_SECONDS = 30
        const val LONGEST_SECONDS = 86_400
        const val DEFAULT_PORT = 18_080
        const val HIGHEST_PORT = 65_534
    }
}
