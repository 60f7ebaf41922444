package io.kumquattrail.agent.backend

import java.io.ByteArrayOutputStream

/** Cuts a body of server-sent events into whole events. */
class EventStreamSplitter {
    private val pending = ByteArrayOutputStream()
    private var lineIsEmpty = false

    /** Number of bytes that wait for the end of their event. */
    val pendingBytes: Int get() = pending.size()

    /** Adds [bytes] and returns the events that are now whole, each with its closing blank line. */
    fun add(bytes: ByteArray): List<ByteArray> {
        val events = mutableListOf<ByteArray>()
        for (byte in bytes) {
            pending.write(byte.toInt())
            when (byte) {
                NEWLINE -> if (lineIsEmpty) events += takePending() else lineIsEmpty = true
                CARRIAGE_RETURN -> Unit
                else -> lineIsEmpty = false
            }
        }
        return events
    }

    /** Removes and returns the bytes whose event has not ended. */
    fun takePending(): ByteArray {
        lineIsEmpty = false
        return pending.toByteArray().also { pending.reset() }
    }

    private companion object {
        const val NEWLINE: Byte = '\n'.code.toByte()
        const val CARRIAGE_RETURN: Byte = '\r'.code.toByte()
    }
}
