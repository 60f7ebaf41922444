package io.kumquattrail.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.fold
import io.kumquattrail.agent.AgentProcess
import io.kumquattrail.node.settings.AgentSettings
import java.security.SecureRandom
import kotlin.random.asKotlinRandom

/** Runs an agent beside a backend server. */
class AgentCommand : CliktCommand(name = "agent") {
    private val settings by option("--settings", help = "TOML settings file").path().required()

    override fun help(context: Context): String =
        "Run an agent beside a backend server. Exit codes: 143 stopped by SIGTERM, 1 invalid settings."

    override fun run() {
        AgentSettings.load(settings).fold(success = ::serve, failure = { refuseSettings(settings, it) })
    }

    private fun serve(loaded: AgentSettings) {
        val agent = AgentProcess(loaded, Daemon.vertx(), random = SecureRandom().asKotlinRandom())
        Daemon.run(start = { agent.start() }, shutdown = { agent.shutdown() })
    }
}
