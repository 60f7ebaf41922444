package io.kumquattrail.decision.suspect

import java.security.MessageDigest
import java.util.HexFormat

/** Identifies identical requests of one organisation, independent of request id and receiving gateway. */
@JvmInline
value class RequestFingerprint(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        // 64 bits: the probability of a collision among a million recorded requests is 3 in 100 million.
        private const val DIGITS = 16

        private const val SEPARATOR: Byte = 0

        /** Returns the fingerprint of a request of [organisation], which is `null` where callers need no key. */
        fun of(
            organisation: String?,
            method: String,
            target: String,
            body: ByteArray,
        ): RequestFingerprint =
            RequestFingerprint(digest(listOf(organisation.orEmpty(), method, target), body).take(DIGITS))

        /** Returns the SHA-256 digest of [parts] and [body] in hexadecimal. No part may contain a zero byte. */
        fun digest(
            parts: List<String>,
            body: ByteArray,
        ): String {
            val digest = MessageDigest.getInstance("SHA-256")
            parts.forEach {
                digest.update(it.toByteArray())
                digest.update(SEPARATOR)
            }
            return HexFormat.of().formatHex(digest.digest(body))
        }
    }
}
