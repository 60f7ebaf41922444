package io.kumquattrail.node.record

/** Says why a published record is rejected as a whole. [field] is the dotted name of the field, or empty. */
sealed interface RecordError {
    val field: String

    /** Explains the error in one sentence. */
    val message: String

    /** The value is not a JSON object. */
    data class Malformed(
        val reason: String,
        override val field: String = "",
    ) : RecordError {
        override val message: String get() = "the record is not a JSON object: $reason"
    }

    /** The record's kind is not known to this program. */
    data class UnknownKind(
        val kind: String,
        override val field: String = "kind",
    ) : RecordError {
        override val message: String get() = "unknown kind '$kind'"
    }

    /** The record may only be read by programs of a newer schema version. */
    data class TooNew(
        val minimumReader: Int,
        override val field: String = "minimum_reader",
    ) : RecordError {
        override val message: String get() = "the record needs a reader of schema version $minimumReader"
    }

    /** A field without a default is missing. */
    data class MissingField(
        override val field: String,
    ) : RecordError {
        override val message: String get() = "missing field '${this.field}'"
    }

    /** A field has the wrong type or range. */
    data class InvalidField(
        override val field: String,
        val value: String,
        val expected: String,
    ) : RecordError {
        override val message: String get() = "field '${this.field}' has the value '$value'; expected $expected"
    }
}
