package io.kumquattrail.command

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonToken

/** Finds the lines of fields in a file of JSON records. */
internal object RecordLines {
    private val FACTORY = JsonFactory()

    /**
     * Returns the line of [field] in the record at [index] of [text], or the record's first line when the field is
     * missing. Of a dotted field the first part counts.
     */
    fun lineOf(
        text: String,
        index: Int,
        field: String,
    ): Int {
        val name = field.substringBefore('.').substringBefore('[')
        var recordLine = 1
        var record = -1
        FACTORY.createParser(text).use { parser ->
            var depth = 0
            val recordDepth = if (text.trimStart().startsWith("[")) 2 else 1
            while (true) {
                val token = parser.nextToken() ?: break
                if (token.isStructStart) {
                    depth += 1
                    if (depth == recordDepth && token == JsonToken.START_OBJECT) {
                        record += 1
                        if (record == index) recordLine = parser.currentTokenLocation().lineNr
                    }
                }
                if (token.isStructEnd) depth -= 1
                val found = token == JsonToken.FIELD_NAME && record == index && depth == recordDepth
                if (found && parser.currentName() == name) return parser.currentTokenLocation().lineNr
            }
        }
        return recordLine
    }
}
