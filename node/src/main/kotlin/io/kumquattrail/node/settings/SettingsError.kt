package io.kumquattrail.node.settings

/** Says why settings are refused. [key] is the dotted name of the setting, or empty for the whole file. */
sealed interface SettingsError {
    val key: String
    val line: Int?

    /** Explains the error in one sentence that names the key. */
    val message: String

    /** The file cannot be read. */
    data class Unreadable(
        val reason: String,
        override val key: String = "",
        override val line: Int? = null,
    ) : SettingsError {
        override val message: String get() = "the file cannot be read: $reason"
    }

    /** The file is not valid TOML. */
    data class Syntax(
        val reason: String,
        override val line: Int?,
        override val key: String = "",
    ) : SettingsError {
        override val message: String get() = "the file is not valid TOML: $reason"
    }

    /** The program does not know the key. */
    data class UnknownKey(
        override val key: String,
        override val line: Int? = null,
    ) : SettingsError {
        override val message: String get() = "unknown key '$key'"
    }

    /** A key without a default is missing. */
    data class MissingKey(
        override val key: String,
        override val line: Int? = null,
    ) : SettingsError {
        override val message: String get() = "missing key '$key'"
    }

    /** The value has the wrong type, unit or range. */
    data class InvalidValue(
        override val key: String,
        val value: String,
        val expected: String,
        override val line: Int? = null,
    ) : SettingsError {
        override val message: String get() = "key '$key' has the value '$value'; expected $expected"
    }
}
