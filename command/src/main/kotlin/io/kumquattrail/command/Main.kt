package io.kumquattrail.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Starts the program that the first argument names. */
class KumquattrailCommand : CliktCommand(name = "kumquattrail") {
    override fun help(context: Context): String = "Load balancer for expert-parallel model groups."

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 success, 1 failure, invalid input or wrong usage, 143 after SIGTERM. Each command has --help."

    override fun run() = Unit
}

fun main(arguments: Array<String>) =
    KumquattrailCommand()
        .subcommands(
            GatewayCommand(),
            AgentCommand(),
            CheckCommand(),
            TimelineCommand(),
            DemoCommand(),
            MeasureCommand(),
            StandInCommand(),
            LoadCommand(),
        ).main(arguments)
