package io.kumquattrail.agent.backend

import java.io.ByteArrayOutputStream

/** Cuts a body of server-sent events into whole events. */
class EventStreamSplitter {
    private val pending = ByteArrayOutputStream()

    /** Number of bytes that wait for the end of their event. */
    val pendingBytes: Int get() = pending.size()

    /** Adds [bytes] and returns the events that are now whole, each with its closing blank line. */
    fun add(bytes: ByteArray): List<ByteArray> {
        val events = mutableListOf<ByteArray>()
        var previousWasNewline = pending.size() > 0 && lastPending == NEWLINE
        for (byte in bytes) {
            pending.write(byte.toInt())
            if (byte == NEWLINE && previousWasNewline) {
                events += pending.toByteArray()
                pending.reset()
                previousWasNewline = false
            } else {
                previousWasNewline = byte == NEWLINE
            }
            lastPending = byte
        }
        return events
    }

    private var lastPending: Byte = 0

    private companion object {
        const val NEWLINE: Byte = '\n'.code.toByte()
    }
}
