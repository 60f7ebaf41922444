package io.kumquattrail.decision.http

private const val LINE_END = "\r\n"

// Lines of responses are short; the limit bounds the memory that an endless one takes.
private const val MAXIMUM_LINE_BYTES = 65_536

/**
 * A fault in the syntax of a response.
 *
 * @property reason description of the fault, without bytes that came from the sender.
 * @property soundBytes number of bytes, of those read last, before the faulty line.
 */
data class SyntaxFault(
    val reason: String,
    val soundBytes: Int,
)

/** Received bytes, which are read in place. */
fun interface ReceivedBytes {
    /** Returns the byte at [index]. */
    fun get(index: Int): Byte
}

/**
 * Checks the syntax of the HTTP/1.x responses (RFC 9112) on one connection as their bytes arrive.
 *
 * Decoders of HTTP libraries are lenient: they trim, skip and join bytes that RFC 9112 does not allow, and their result no
 * longer shows it. The first fault is final, as nothing after it can be attributed to a response.
 */
class ResponseSyntax {
    private enum class Part { STATUS_LINE, FIELD, CHUNK_SIZE, CHUNK_END, TRAILER, BODY_UNTIL_CLOSE }

    /** The line so far, one character for each byte. */
    private val line = StringBuilder()
    private var part = Part.STATUS_LINE
    private var head = ResponseHeadSyntax()

    /** Bytes of the body, or of the chunk, that follow before the next line. */
    private var bodyBytes = 0L
    private var failure: String? = null

    /** Reads the [size] bytes of [bytes], or those up to the first fault, which it returns. */
    fun read(
        size: Int,
        bytes: ReceivedBytes,
    ): SyntaxFault? {
        var position = 0
        var lineStart = 0
        while (failure == null && position < size) {
            val skipped = skipBody(size - position)
            position += skipped
            if (skipped > 0) {
                lineStart = position
            } else if (addToLine(bytes.get(position++))) {
                failure = onLine(line.toString())
                line.clear()
                if (failure == null) lineStart = position
            }
        }
        return failure?.let { SyntaxFault(reason = it, soundBytes = lineStart) }
    }

    /** Skips those of the [available] bytes that belong to the body before the next line; returns their number. */
    private fun skipBody(available: Int): Int {
        if (part == Part.BODY_UNTIL_CLOSE) return available
        val skipped = minOf(available.toLong(), bodyBytes)
        bodyBytes -= skipped
        return skipped.toInt()
    }

    /** Adds [byte] to the line; returns whether the line is complete. */
    private fun addToLine(byte: Byte): Boolean {
        line.append((byte.toInt() and BYTE_MASK).toChar())
        if (line.last() == '\n') return true
        val limit = if (part == Part.CHUNK_END) LINE_END.length else MAXIMUM_LINE_BYTES
        if (line.length >= limit) {
            failure = if (part == Part.CHUNK_END) LONG_CHUNK else "line of more than $limit bytes"
        }
        return false
    }

    private fun onLine(complete: String): String? {
        if (!complete.endsWith(LINE_END)) return "line that ends without a carriage return"
        val text = complete.dropLast(LINE_END.length)
        return when (part) {
            Part.STATUS_LINE -> onStatusLine(text)
            Part.FIELD -> if (text.isEmpty()) onHeadEnd() else head.onField(text)
            Part.CHUNK_SIZE -> onChunkSize(text)
            Part.CHUNK_END -> if (text.isEmpty()) null.also { part = Part.CHUNK_SIZE } else LONG_CHUNK
            Part.TRAILER -> if (text.isEmpty()) null.also { onResponseEnd() } else fieldFault(text)
            Part.BODY_UNTIL_CLOSE -> error("the body has no lines")
        }
    }

    private fun onStatusLine(text: String): String? {
        part = Part.FIELD
        return head.onStatusLine(text)
    }

    private fun onHeadEnd(): String? {
        when (val framing = head.framing()) {
            is BodyFraming.Faulty -> return framing.reason
            BodyFraming.None -> onResponseEnd()
            BodyFraming.Chunks -> part = Part.CHUNK_SIZE
            BodyFraming.UntilClose -> part = Part.BODY_UNTIL_CLOSE
            is BodyFraming.Length -> onResponseEnd().also { bodyBytes = framing.bytes }
        }
        return null
    }

    private fun onChunkSize(text: String): String? {
        val digits = text.takeWhile { it in HEXADECIMAL_DIGITS }
        val extension = text.drop(digits.length)
        val size = digits.toIntOrNull(radix = 16) ?: return "chunk size that is not a hexadecimal number of 31 bits"
        if (extension.isNotEmpty() && !extension.trimStart(' ', '\t').startsWith(';')) {
            return "chunk size that is followed by more than an extension"
        }
        extension.firstOrNull { !isText(it) }?.let { return "${byteName(it)} in the extension of a chunk" }
        part = if (size == 0) Part.TRAILER else Part.CHUNK_END
        bodyBytes = size.toLong()
        return null
    }

    private fun onResponseEnd() {
        part = Part.STATUS_LINE
        head = ResponseHeadSyntax()
    }

    private companion object {
        const val LONG_CHUNK = "chunk that is longer than its size"
        const val BYTE_MASK = 0xff
        const val HEXADECIMAL_DIGITS = "0123456789abcdefABCDEF"
    }
}
