package io.kumquattrail.forward.json

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.json.JsonMapper
import java.io.IOException

/** The result of parsing bytes that another program has written. */
sealed interface JsonDocument {
    /** The bytes are a JSON document. */
    data class Parsed(
        val root: JsonNode,
    ) : JsonDocument

    /** The bytes are no JSON document, for the given reason. */
    data class Unreadable(
        val reason: String,
    ) : JsonDocument

    /** The root of the document; `null` when it is unreadable. */
    val rootOrNull: JsonNode? get() = (this as? Parsed)?.root

    companion object {
        private val MAPPER = JsonMapper()

        /** Parses [bytes]; any bytes give a result, never an exception. */
        fun parse(bytes: ByteArray): JsonDocument =
            try {
                val root = MAPPER.readTree(bytes)
                if (root == null || root.isMissingNode) Unreadable("empty document") else Parsed(root)
            } catch (failure: IOException) {
                // Not only JacksonException: bytes that look like UTF-32 give a CharConversionException.
                Unreadable(
                    failure.message
                        .orEmpty()
                        .lineSequence()
                        .first(),
                )
            }
    }
}
