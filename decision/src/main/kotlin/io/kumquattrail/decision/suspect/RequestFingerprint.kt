package io.kumquattrail.decision.suspect

import java.security.MessageDigest
import java.util.HexFormat

/** Identifies requests that are the same work for the same caller, whatever their ids and the gateways they come to. */
@JvmInline
value class RequestFingerprint(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        // 64 bits: among a million remembered requests, two share a fingerprint with a chance of 3 in 100 million.
        private const val DIGITS = 16

        private const val SEPARATOR: Byte = 0

        /** Returns the fingerprint of a request of [organisation]; `null` where callers need no key. */
        fun of(
            organisation: String?,
            method: String,
            target: String,
            body: ByteArray,
        ): RequestFingerprint =
            RequestFingerprint(digest(listOf(organisation.orEmpty(), method, target), body).take(DIGITS))

        /** Returns the SHA-256 digest of [parts], none of which contains a zero byte, and [body], in hexadecimal. */
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
