package io.kumquattrail.node.settings

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Holds a parsed TOML file and the line of each of its keys. */
class TomlTable private constructor(
    private val root: JsonNode,
    private val lines: Map<String, Int>,
) {
    fun reader(): SettingsReader = SettingsReader(root, lines)

    /** Tells whether the file has the table [name]. */
    fun hasSection(name: String): Boolean = root.path(name).isObject

    companion object {
        private val MAPPER = TomlMapper()
        private val SECTION = Regex("""\s*\[\s*([\w.-]+)\s*]\s*(#.*)?""")
        private val ASSIGNMENT = Regex("""\s*([\w.-]+)\s*=.*""")

        fun load(path: Path): Result<TomlTable, SettingsError> =
            try {
                parse(Files.readString(path))
            } catch (exception: IOException) {
                Err(SettingsError.Unreadable(exception.javaClass.simpleName + ": " + exception.message))
            }

        fun parse(text: String): Result<TomlTable, SettingsError> =
            try {
                val node = MAPPER.readTree(text)
                Ok(TomlTable(if (node.isObject) node else JsonNodeFactory.instance.objectNode(), keyLines(text)))
            } catch (exception: JsonProcessingException) {
                Err(SettingsError.Syntax(exception.originalMessage, exception.location?.lineNr))
            }

        private fun keyLines(text: String): Map<String, Int> {
            var section = ""
            val lines = mutableMapOf<String, Int>()
            text.lines().forEachIndexed { index, line ->
                SECTION.matchEntire(line)?.let { section = it.groupValues[1] + "." }
                ASSIGNMENT.matchEntire(line)?.let { lines[section + it.groupValues[1]] = index + 1 }
            }
            return lines
        }
    }
}
