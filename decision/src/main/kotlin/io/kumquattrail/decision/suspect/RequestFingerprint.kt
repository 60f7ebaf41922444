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
        private const val BYTES = 8

        /** Returns the fingerprint of a request of [organisation]; `null` where callers need no key. */
        fun of(
            organisation: String?,
            method: String,
            target: String,
            body: ByteArray,
        ): RequestFingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            // A line break is no part of any of these, so no two different requests are joined to the same bytes.
            digest.update("${organisation.orEmpty()}\n$method\n$target\n".toByteArray())
            val hash = digest.digest(body)
            return RequestFingerprint(HexFormat.of().formatHex(hash, 0, BYTES))
        }
    }
}
