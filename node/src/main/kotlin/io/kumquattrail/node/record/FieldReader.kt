package io.kumquattrail.node.record

import com.fasterxml.jackson.databind.JsonNode

/** Reads typed fields of a JSON object and collects every error. Fields that it does not know are left alone. */
internal class FieldReader(
    private val node: JsonNode,
    private val path: String = "",
) {
    private val collected = mutableListOf<RecordError>()

    val errors: List<RecordError> get() = collected

    fun text(
        name: String,
        default: String? = null,
    ): String =
        field(name, default, "a text of 1 to $LONGEST_TEXT characters") { node ->
            node.takeIf { it.isTextual }?.textValue()?.takeIf { it.length in 1..LONGEST_TEXT }
        } ?: ""

    fun integer(
        name: String,
        range: IntRange,
        default: Int? = null,
    ): Int =
        field(name, default, "a whole number from ${range.first} to ${range.last}") { node ->
            node.takeIf { it.isIntegralNumber && it.canConvertToInt() }?.intValue()?.takeIf { it in range }
        } ?: range.first

    fun long(
        name: String,
        range: LongRange,
        default: Long? = null,
    ): Long =
        field(name, default, "a whole number from ${range.first} to ${range.last}") { node ->
            node.takeIf { it.isIntegralNumber && it.canConvertToLong() }?.longValue()?.takeIf { it in range }
        } ?: range.first

    fun optionalLong(
        name: String,
        range: LongRange,
    ): Long? = if (node.get(name) == null || node.get(name).isNull) null else long(name, range)

    fun flag(
        name: String,
        default: Boolean,
    ): Boolean = field(name, default, "true or false") { it.takeIf(JsonNode::isBoolean)?.booleanValue() } ?: default

    fun textList(name: String): List<String> =
        field(name, emptyList(), "a list of texts") { node ->
            node.takeIf { it.isArray && it.all(JsonNode::isTextual) }?.map { it.textValue() }
        } ?: emptyList()

    fun <T> objectList(
        name: String,
        read: (FieldReader) -> T,
    ): List<T> {
        val list = node.get(name) ?: return emptyList()
        if (!list.isArray) {
            collected += RecordError.InvalidField(path + name, list.toString(), "a list of objects")
            return emptyList()
        }
        return list.mapIndexed { index, element ->
            val reader = FieldReader(element, "$path$name[$index].")
            read(reader).also { collected += reader.errors }
        }
    }

    /** Records that the value of [name] is out of the bounds that [expected] names. */
    fun reject(
        name: String,
        value: Any?,
        expected: String,
    ) {
        collected += RecordError.InvalidField(path + name, value.toString(), expected)
    }

    private fun <T : Any> field(
        name: String,
        default: T?,
        expected: String,
        convert: (JsonNode) -> T?,
    ): T? {
        val value = node.get(name)
        if (value == null) {
            if (default == null) collected += RecordError.MissingField(path + name)
            return default
        }
        val converted = convert(value)
        if (converted == null) reject(name, if (value.isValueNode) value.asText() else value, expected)
        return converted
    }

    private companion object {
        const val LONGEST_TEXT = 1_024
    }
}
