package io.kumquattrail.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import io.kumquattrail.demo.StandInHost
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait

/** Runs stand-ins of the outside systems for scripts/fleet-run. */
class StandInCommand : CliktCommand(name = "stand-in") {
    private val port by option("--port", help = "First port").int().default(DEFAULT_PORT)
    private val runners by option("--runners", help = "Number of model engines").int().default(6)
    private val ledgers by option("--ledgers", help = "Number of ledger servers").int().default(3)

    override val hiddenFromHelp: Boolean = true

    override fun help(context: Context): String = "Run stand-ins on loopback until SIGTERM; for scripts/fleet-run."

    override fun run() {
        val vertx = Vertx.vertx()
        val host = StandInHost(vertx, port, runners, ledgers)
        Daemon.run(
            start = {
                host.start()
                echo(mapOf("ready" to true).toJsonLine())
            },
            shutdown = { vertx.close().coAwait() },
        )
    }

    private companion object {
        const val DEFAULT_PORT = 19_000
    }
}
