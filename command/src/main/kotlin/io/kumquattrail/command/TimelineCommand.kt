package io.kumquattrail.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.timeline.HtmlRenderer
import io.kumquattrail.decision.timeline.JsonLinesRenderer
import io.kumquattrail.decision.timeline.TextRenderer
import io.kumquattrail.decision.timeline.TimelineFilter
import io.kumquattrail.decision.timeline.TimelineMerge
import io.kumquattrail.node.rpc.ChannelPool
import io.kumquattrail.node.settings.SocketAddress
import io.kumquattrail.node.settings.TransportSecurity
import io.kumquattrail.node.timeline.TimelineReader
import kotlinx.coroutines.runBlocking

/** Merges the events of several processes. */
class TimelineCommand : CliktCommand(name = "timeline") {
    private val from by option("--from", help = "Addresses IP:PORT of gateways and agents, separated by commas")
        .split(",")
        .required()
    private val format by option("--format", help = "Output format")
        .choice("text" to TextRenderer, "json" to JsonLinesRenderer, "html" to HtmlRenderer)
        .default(TextRenderer)
    private val request by option("--request", help = "Only events of this request")
    private val zone by option("--zone", help = "Only events of this availability zone")
    private val map by option("--map", help = "Only events of this version of an expert map").long()

    private val certificate by option("--certificate", help = "PEM certificate, where the processes use TLS").path()
    private val key by option("--key", help = "PEM private key of the certificate").path()
    private val authority by option("--authority", help = "PEM certificates of the authority").path()

    override fun help(context: Context): String =
        "Merge the events of several processes. Exit codes: 0 all read, 1 a process did not answer."

    override fun run() {
        val addresses = from.map { SocketAddress.parse(it) ?: throw UsageError("'$it' is not an address IP:PORT") }
        val timelines =
            ChannelPool(security()).use { channels ->
                runBlocking { TimelineReader(channels).read(addresses) }
            }
        val filter = TimelineFilter(request, zone?.let(::ZoneName), map)
        echo(format.render(TimelineMerge.merge(timelines, filter)), trailingNewline = false)
        if (timelines.any { it.failure != null }) throw ProgramResult(1)
    }

    private fun security(): TransportSecurity? {
        val files = listOfNotNull(certificate, key, authority)
        if (files.isEmpty()) return null
        if (files.size < TLS_FILES) throw UsageError("TLS needs --certificate, --key and --authority")
        return TransportSecurity(files[0], files[1], files[2])
    }

    private companion object {
        const val TLS_FILES = 3
    }
}
