package io.kumquattrail.node.settings

import com.fasterxml.jackson.databind.JsonNode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reads typed values out of a parsed TOML table and collects every error instead of stopping at the first.
 *
 * Keys that nothing read are reported by [unknownKeys], so that a misspelt key is never silently ignored.
 */
class SettingsReader(
    private val table: JsonNode,
    private val lines: Map<String, Int> = emptyMap(),
) {
    private val read = mutableSetOf<String>()
    private val collected = mutableListOf<SettingsError>()

    /** Errors found so far, in the order in which the keys were read. */
    val errors: List<SettingsError> get() = collected

    fun text(
        key: String,
        default: String? = null,
    ): String =
        value(key, default, "a text") { node ->
            node.takeIf { it.isTextual }?.textValue()?.takeIf { it.isNotBlank() }
        } ?: ""

    fun optionalText(key: String): String? = if (find(key) == null) null else text(key)

    fun textList(key: String): List<String> =
        value(key, emptyList(), "a list of texts") { node ->
            node.takeIf { it.isArray && it.all(JsonNode::isTextual) }?.map { it.textValue() }
        } ?: emptyList()

    fun integer(
        key: String,
        range: IntRange,
        default: Int? = null,
    ): Int =
        value(key, default, "a whole number from ${range.first} to ${range.last}") { node ->
            node.takeIf { it.isIntegralNumber && it.canConvertToInt() }?.intValue()?.takeIf { it in range }
        } ?: range.first

    /** Reads a duration such as `"250ms"`, `"2s"` or `"1m"`. */
    fun duration(
        key: String,
        range: ClosedRange<Duration>,
        default: Duration? = null,
    ): Duration =
        value(key, default, "a duration from ${range.start} to ${range.endInclusive}, such as \"250ms\" or \"2s\"") {
            it
                .takeIf(JsonNode::isTextual)
                ?.textValue()
                ?.let(::parseDuration)
                ?.takeIf { parsed -> parsed in range }
        } ?: range.start

    /** Reads an address in the form `IP:PORT`; host names are refused because peers are named by IP address. */
    fun address(
        key: String,
        default: String? = null,
    ): SocketAddress =
        value(key, default?.let(SocketAddress::parse), "an address such as \"127.0.0.1:7000\"") { node ->
            node.takeIf { it.isTextual }?.textValue()?.let(SocketAddress::parse)
        } ?: SocketAddress(host = "0.0.0.0", port = 0)

    /** Reads a list of at least one address. */
    fun addressList(key: String): List<SocketAddress> =
        value(key, null, "a list of addresses such as [\"127.0.0.1:7000\"]") { node ->
            val parsed = node.map { it.textValue()?.let(SocketAddress::parse) }
            parsed.filterNotNull().takeIf { node.isArray && it.isNotEmpty() && it.size == parsed.size }
        } ?: emptyList()

    /** Lists an error for every key of the table that nothing has read. */
    fun unknownKeys(): List<SettingsError> =
        leafKeys(table, prefix = "").filterNot { it in read }.map { SettingsError.UnknownKey(it, lines[it]) }

    private fun <T : Any> value(
        key: String,
        default: T?,
        expected: String,
        convert: (JsonNode) -> T?,
    ): T? {
        read += key
        val node = find(key)
        if (node == null) {
            if (default == null) collected += SettingsError.MissingKey(key)
            return default
        }
        val converted = convert(node)
        if (converted == null) {
            val shown = if (node.isValueNode) node.asText() else node.toString()
            collected += SettingsError.InvalidValue(key, shown, expected, lines[key])
        }
        return converted
    }

    private fun find(key: String): JsonNode? = key.split('.').fold(table as JsonNode?) { node, part -> node?.get(part) }

    private fun leafKeys(
        node: JsonNode,
        prefix: String,
    ): List<String> =
        node.properties().flatMap { (name, child) ->
            if (child.isObject) leafKeys(child, "$prefix$name.") else listOf("$prefix$name")
        }

    companion object {
        private val DURATION = Regex("""(\d{1,9})(ms|s|m|h)""")
        private const val MILLISECONDS_PER_SECOND = 1_000L
        private const val MILLISECONDS_PER_MINUTE = 60_000L
        private const val MILLISECONDS_PER_HOUR = 3_600_000L

        /** Parses a duration with the unit `ms`, `s`, `m` or `h`; returns `null` for any other text. */
        fun parseDuration(text: String): Duration? {
            val (digits, unit) = DURATION.matchEntire(text)?.destructured ?: return null
            val factor =
                when (unit) {
                    "ms" -> 1L
                    "s" -> MILLISECONDS_PER_SECOND
                    "m" -> MILLISECONDS_PER_MINUTE
                    else -> MILLISECONDS_PER_HOUR
                }
            return (digits.toLong() * factor).milliseconds
        }
    }
}
