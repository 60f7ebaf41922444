package io.kumquattrail.forward.http

import java.io.ByteArrayOutputStream

/**
 * Bounds what one process takes from servers, so that bytes without end cannot use up its memory.
 *
 * @property wholeBodyBytes longest body that is collected before it is passed on, in bytes.
 * @property collectedBytes bytes of all bodies that are being collected at once, beyond [freeBodyBytes] of each.
 * @property freeBodyBytes bytes of a body that are collected in any case, so that long bodies of some servers do not
 *   break the short ones of others.
 * @property unreadBytes bytes of a response that wait to be passed on; above it, reading from the server pauses.
 * @property headBytes bytes that a connection may deliver without a head, a part of a body or an end.
 * @property interimHeads informational heads before the head of a response.
 * @property skippedBytes bytes of responses to other requests that are read to keep a connection.
 * @property eventBytes longest event of a stream, in bytes.
 */
data class ResponseLimits(
    val wholeBodyBytes: Int = 4 * MEBIBYTE,
    val collectedBytes: Int = 16 * MEBIBYTE,
    val freeBodyBytes: Int = 64 * KIBIBYTE,
    val unreadBytes: Int = 16 * KIBIBYTE,
    val headBytes: Int = 128 * KIBIBYTE,
    val interimHeads: Int = 8,
    val skippedBytes: Int = 64 * KIBIBYTE,
    val eventBytes: Int = 256 * KIBIBYTE,
)

private const val KIBIBYTE = 1_024
private const val MEBIBYTE = 1_024 * KIBIBYTE

/** Counts the bytes of all bodies that are being collected. It is used on one event loop only. */
class CollectedBytes(
    private val limits: ResponseLimits,
) {
    private var held = 0L

    /** Collects one body within the limits; [close] gives back what it held. */
    inner class Body : AutoCloseable {
        private val bytes = ByteArrayOutputStream()
        private var counted = 0L

        /** Adds [more]; returns whether the body is still within the limits. */
        fun add(more: ByteArray): Boolean {
            val size = bytes.size().toLong() + more.size
            val extra = maxOf(0L, size - limits.freeBodyBytes) - counted
            if (size > limits.wholeBodyBytes || held + extra > limits.collectedBytes) return false
            held += extra
            counted += extra
            bytes.write(more)
            return true
        }

        /** Returns what was collected. */
        fun toByteArray(): ByteArray = bytes.toByteArray()

        override fun close() {
            held -= counted
            counted = 0
        }
    }
}
