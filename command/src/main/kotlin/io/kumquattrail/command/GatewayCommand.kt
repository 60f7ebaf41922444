package io.kumquattrail.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.fold
import io.kumquattrail.gateway.GatewayProcess
import io.kumquattrail.node.settings.GatewaySettings
import io.kumquattrail.node.settings.SettingsError
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.random.asKotlinRandom

/** Runs a gateway on an entry VM. */
class GatewayCommand : CliktCommand(name = "gateway") {
    private val settings by option("--settings", help = "TOML settings file").path().required()

    override fun help(context: Context): String =
        "Run a gateway on an entry VM. Exit codes: 143 stopped by SIGTERM, 1 invalid settings."

    override fun run() {
        GatewaySettings.load(settings).fold(success = ::serve, failure = { refuseSettings(settings, it) })
    }

    private fun serve(loaded: GatewaySettings) {
        val gateway = GatewayProcess(loaded, Daemon.vertx(), random = SecureRandom().asKotlinRandom())
        Daemon.run(start = { gateway.start() }, shutdown = { gateway.shutdown() })
    }
}

/** Prints [errors] with file, line and key, and ends the command with exit code 1. */
internal fun CliktCommand.refuseSettings(
    file: Path,
    errors: List<SettingsError>,
): Nothing {
    errors.forEach { error -> echo("$file:${error.line ?: 1}: ${error.message}", err = true) }
    throw ProgramResult(1)
}
