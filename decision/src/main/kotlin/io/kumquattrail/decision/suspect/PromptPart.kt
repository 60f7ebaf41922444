package io.kumquattrail.decision.suspect

import java.util.Locale

/** Identifies a part of a prompt, which many requests may share. */
@JvmInline
value class PromptPart private constructor(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        // Longer ids, which callers may choose, are replaced by digests, so that a stored part has a bounded size.
        private const val MAXIMUM_CHARACTERS = 32

        /** Returns the part with the hexadecimal [id], regardless of its case; `null` if it is blank. */
        fun of(id: String): PromptPart? {
            val normalised = id.trim().lowercase(Locale.ROOT)
            return when {
                normalised.isEmpty() -> null
                normalised.length <= MAXIMUM_CHARACTERS -> PromptPart(normalised)
                else -> PromptPart(RequestFingerprint.digest(listOf(normalised), ByteArray(0)).take(MAXIMUM_CHARACTERS))
            }
        }
    }
}
