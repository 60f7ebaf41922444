package io.kumquattrail.command

import com.fasterxml.jackson.core.JsonLocation
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import io.kumquattrail.node.record.JsonRecordDecoder
import io.kumquattrail.node.settings.AgentSettings
import io.kumquattrail.node.settings.GatewaySettings
import io.kumquattrail.node.settings.SettingsError
import io.kumquattrail.node.settings.TomlTable
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Checks settings (`.toml`) and records (`.json`, one record or a list) without opening anything. */
class CheckCommand : CliktCommand(name = "check") {
    private val files by argument(help = "Settings (.toml) and record files (.json)").path().multiple(required = true)

    override fun help(context: Context): String =
        "Check settings and record files. Exit codes: 0 all valid, 1 an error, named with file, line and field."

    override fun run() {
        val errors = files.flatMap { file -> if (file.toString().endsWith(".toml")) settings(file) else records(file) }
        errors.forEach { echo(it, err = true) }
        if (errors.isNotEmpty()) throw ProgramResult(1)
        echo("${files.size} files valid")
    }

    private fun settings(file: Path): List<String> =
        TomlTable.load(file).fold(
            success = { table ->
                val agent = table.hasSection("agent")
                errors(file, if (agent) AgentSettings.load(file) else GatewaySettings.load(file))
            },
            failure = { listOf(line(file, it)) },
        )

    private fun errors(
        file: Path,
        loaded: Result<*, List<SettingsError>>,
    ): List<String> = loaded.getError().orEmpty().map { line(file, it) }

    private fun line(
        file: Path,
        error: SettingsError,
    ): String = "$file:${error.line ?: 1}: ${error.message}"

    private fun records(file: Path): List<String> =
        try {
            val text = Files.readString(file)
            val root = ObjectMapper().readTree(text)
            (if (root.isArray) root.toList() else listOf(root)).flatMapIndexed { index, node ->
                recordErrors(file, text, node, index)
            }
        } catch (exception: JsonProcessingException) {
            val location: JsonLocation? = exception.location
            listOf("$file:${location?.lineNr ?: 1}: not valid JSON: ${exception.originalMessage}")
        } catch (exception: IOException) {
            listOf("$file:1: the file cannot be read: ${exception.message}")
        }

    private fun recordErrors(
        file: Path,
        text: String,
        node: JsonNode,
        index: Int,
    ): List<String> =
        JsonRecordDecoder().decode(node).getError().orEmpty().map { error ->
            val name = node.path("name").asText("record ${index + 1}")
            "$file:${RecordLines.lineOf(text, index, error.field)}: $name: ${error.message}"
        }
}
