package io.kumquattrail.forward.http

import java.io.ByteArrayOutputStream

/**
 * Limits on the data that one process accepts from servers, so that endless responses cannot exhaust its memory.
 *
 * @property wholeBodyBytes longest body that is collected as a whole before it is passed on, in bytes.
 * @property collectedBytes total of all bodies that are being collected at the same time, in bytes, not counting the
 *   first [uncountedBodyBytes] of each.
 * @property uncountedBodyBytes bytes of a body that do not count towards the total, so that long bodies of some servers
 *   do not cause short ones of others to be rejected.
 * @property unreadBytes bytes of a response that wait to be passed on, above which reading from the server pauses.
 * @property headBytes bytes that a server may send without completing a head, a part of a body or a response.
 * @property interimHeads informational (1xx) heads before the head of a response.
 * @property skippedBytes bytes of responses to other requests that are skipped before the connection is closed.
 * @property eventBytes longest event of a stream, in bytes.
 */
data class ResponseLimits(
    val wholeBodyBytes: Int = 4 * MEBIBYTE,
    val collectedBytes: Int = 16 * MEBIBYTE,
    val uncountedBodyBytes: Int = 64 * KIBIBYTE,
    val unreadBytes: Int = 16 * KIBIBYTE,
    val headBytes: Int = 128 * KIBIBYTE,
    val interimHeads: Int = 8,
    val skippedBytes: Int = 64 * KIBIBYTE,
    val eventBytes: Int = 256 * KIBIBYTE,
)

private const val KIBIBYTE = 1_024
private const val MEBIBYTE = 1_024 * KIBIBYTE

/** Counts the bytes of all bodies that are being collected. Must be used on one event loop only. */
class CollectedBytes(
    private val limits: ResponseLimits,
) {
    private var totalBytes = 0L

    /** Collects one body within the limits; [close] subtracts its bytes from the total. */
    inner class Body : AutoCloseable {
        private val bytes = ByteArrayOutputStream()
        private var countedBytes = 0L

        /** Adds [more] if the body stays within the limits; returns whether it does. */
        fun add(more: ByteArray): Boolean {
            val size = bytes.size().toLong() + more.size
            val extra = maxOf(0L, size - limits.uncountedBodyBytes) - countedBytes
            if (size > limits.wholeBodyBytes || totalBytes + extra > limits.collectedBytes) return false
            totalBytes += extra
            countedBytes += extra
            bytes.write(more)
            return true
        }

        /** Returns the bytes collected so far. */
        fun toByteArray(): ByteArray = bytes.toByteArray()

        override fun close() {
            totalBytes -= countedBytes
            countedBytes = 0
        }
    }
}
