package io.kumquattrail.decision.http

/** What the head of a response says about where its body ends. */
internal sealed interface BodyFraming {
    /** The response has no body. */
    data object None : BodyFraming

    /** The body has [bytes]. */
    data class Length(
        val bytes: Long,
    ) : BodyFraming

    /** The body comes in chunks. */
    data object Chunks : BodyFraming

    /** The body ends with the connection. */
    data object UntilClose : BodyFraming

    /** The head contradicts itself. */
    data class Faulty(
        val reason: String,
    ) : BodyFraming
}

/** Checks the lines of one head; each function returns the reason why the head is faulty, or `null`. */
internal class ResponseHeadSyntax {
    private var status = 0
    private var isHttp10 = false
    private var length: Long? = null
    private var isChunked = false

    fun onStatusLine(line: String): String? {
        if (!VERSION.matches(line.substringBefore(' '))) return "version is not HTTP/1.x"
        val code = line.substringAfter(' ').substringBefore(' ')
        if (!THREE_DIGITS.matches(code)) return "status is not a number of three digits"
        status = code.toInt()
        isHttp10 = line.startsWith(HTTP_1_0)
        return when {
            status !in STATUSES -> "status $code is outside ${STATUSES.first} to ${STATUSES.last}"
            status == SWITCHING_PROTOCOLS -> "status $code without a request to switch protocols"
            else -> line.firstOrNull { !isText(it) }?.let { "${byteName(it)} in the status line" }
        }
    }

    fun onField(line: String): String? {
        fieldFault(line)?.let { return it }
        val value = line.substringAfter(':').trim(' ', '\t')
        return when (line.substringBefore(':').lowercase()) {
            "content-length" -> onLength(value)
            "transfer-encoding" -> onTransferCoding(value)
            else -> null
        }
    }

    /** Returns how the body is framed, at the end of the head. */
    fun framing(): BodyFraming {
        val bytes = length
        return when {
            isChunked && bytes != null -> BodyFraming.Faulty("length beside chunks")
            isChunked && isHttp10 -> BodyFraming.Faulty("chunks in HTTP/1.0")
            status in INFORMATIONAL || status in STATUSES_WITHOUT_BODY -> BodyFraming.None
            isChunked -> BodyFraming.Chunks
            bytes != null -> BodyFraming.Length(bytes)
            else -> BodyFraming.UntilClose
        }
    }

    private fun onLength(value: String): String? {
        if (length != null) return "more than one length"
        // toLongOrNull also accepts a sign.
        length = value.toLongOrNull()?.takeIf { value.all { it in '0'..'9' } }
        return if (length == null) "length is not a number" else null
    }

    private fun onTransferCoding(value: String): String? {
        // Requests offer no other coding, and a gateway that does not know a coding cannot tell where the body ends.
        if (isChunked || !value.equals("chunked", ignoreCase = true)) return "transfer coding other than chunked"
        isChunked = true
        return null
    }

    private companion object {
        val VERSION = Regex("HTTP/1\\.[0-9]")
        const val HTTP_1_0 = "HTTP/1.0"
        val THREE_DIGITS = Regex("[0-9]{3}")
        val STATUSES = 100..599
        val INFORMATIONAL = 100..199
        const val SWITCHING_PROTOCOLS = 101
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}

/** Returns why [line] is not a field of a head or trailer, or `null`. */
internal fun fieldFault(line: String): String? {
    if (line.first() == ' ' || line.first() == '\t') return "folded field"
    val colon = line.indexOf(':')
    if (colon < 0) return "field without a colon"
    if (colon == 0) return "field without a name"
    return line.take(colon).firstOrNull { !isNameCharacter(it) }?.let { "${byteName(it)} in the name of a field" }
        ?: line.drop(colon).firstOrNull { !isText(it) }?.let { "${byteName(it)} in the value of a field" }
}

/** Returns whether [character], one byte, is allowed in values and reasons: all but control characters, except tabs. */
internal fun isText(character: Char): Boolean = character == '\t' || (character >= ' ' && character != DELETE)

/** Describes [character], one byte, in a log line. */
internal fun byteName(character: Char): String = "byte 0x%02x".format(character.code)

private fun isNameCharacter(character: Char): Boolean =
    character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in NAME_SYMBOLS

private const val NAME_SYMBOLS = "!#$%&'*+-.^_`|~"
private const val DELETE = '\u007f'
