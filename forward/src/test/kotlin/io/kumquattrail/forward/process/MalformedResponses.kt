package io.kumquattrail.forward.process

/** What a response would mean if its syntax were sound. */
internal enum class Meaning(
    val status: String,
    val fields: String,
) {
    ANSWER("200 OK", ""),
    FAILURE("500 Error", ""),
    REFUSAL("503 Full", "Not-Run: 1\r\n"),
}

/** A response with one fault in its syntax; all else in it is sound. */
internal class MalformedResponse(
    val fault: String,
    private val write: (Meaning, fields: String) -> String,
) {
    /** Returns the response to the request [id], one character for each byte. */
    fun to(
        id: String?,
        meaning: Meaning,
    ): String = write(meaning, (id?.let { "Request: $it\r\n" } ?: "") + "Signature: s1\r\n" + meaning.fields)
}

private val BODY = event(1)
private val LENGTH = "Content-Length: ${BODY.length}\r\n"
private const val CHUNKED = "Transfer-Encoding: chunked\r\n"

private fun printable(text: String): String =
    text.map { if (it in ' '..'~') it.toString() else "<%02x>".format(it.code) }.joinToString("")

private fun statusLine(line: (Meaning) -> String) =
    MalformedResponse(printable(line(Meaning.ANSWER))) { meaning, fields ->
        "${line(meaning)}\r\n$fields$LENGTH\r\n$BODY"
    }

private fun field(line: String) =
    MalformedResponse(printable(line)) { meaning, fields ->
        "HTTP/1.1 ${meaning.status}\r\n$fields$line\r\n$LENGTH\r\n$BODY"
    }

private fun interimHead(head: String) =
    MalformedResponse(printable(head)) { meaning, fields ->
        "$head\r\nHTTP/1.1 ${meaning.status}\r\n$fields$LENGTH\r\n$BODY"
    }

private fun length(lines: String) =
    MalformedResponse(printable(lines)) { meaning, fields ->
        "HTTP/1.1 ${meaning.status}\r\n$fields$lines\r\n\r\n$BODY"
    }

private fun chunks(
    bytes: String,
    coding: String = CHUNKED,
) = MalformedResponse(printable(coding + bytes)) { meaning, fields ->
    "HTTP/1.1 ${meaning.status}\r\n$fields$coding\r\n$bytes"
}

private fun chunkSize(size: String) = chunks("$size\r\n$BODY\r\n$LAST_CHUNK")

private fun trailer(line: String) = chunks("${chunk(BODY)}0\r\n$line\r\n\r\n")

/** Bytes that neither a name nor a value of a field may have. */
private val CONTROLS = listOf('\u0000', '\u0001', '\u000b', '\u007f', '\r')

/** Size of a chunk that holds the body, as it is written. */
private val SIZE = BODY.length.toString(16)

/** Responses with a malformed head, by the part in which the fault is. */
internal val MALFORMED_HEADS: Map<String, List<MalformedResponse>> =
    mapOf(
        "a status outside 100 to 599, or not of three digits" to
            listOf("000", "0", "001", "099", "20", "600", "999", "1000", "2000", "0200", "+200", "-200", "2x0", "")
                .map { status -> statusLine { "HTTP/1.1 $status Text" } },
        "a status line in another form" to
            listOf("HTTP/9.9", "HTTP/2.0", "HTTP/0.9", "HTTP/1.10", "HTTP/1.x", "http/1.1", "HTTPS/1.1")
                .plus(listOf(" HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1\u0000", "\u0001HTTP/1.1", "\r\nHTTP/1.1"))
                .map { version -> statusLine { "$version ${it.status}" } } +
            statusLine { "HTTP/1.1\t${it.status}" } +
            statusLine { "HTTP/1.1 ${it.status.replace(' ', '\t')}" } +
            CONTROLS.map { control -> statusLine { "HTTP/1.1 ${it.status}$control." } },
        "an interim head that is malformed" to
            listOf("HTTP/1.1 099 Early\r\n", "HTTP/9.9 103 Early\r\n", "HTTP/1.1 103 Early\r\nX Bad: 1\r\n")
                .map(::interimHead),
        "an interim head that switches protocols" to
            listOf("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n").map(::interimHead),
        "a blank or control byte in the name of a field" to
            listOf("X Bad: 1", "X-Bad : 1", "X-Bad\t: 1", "X\tBad: 1", "Content Length: 3", "Signature : other")
                .plus(listOf("Request : other", "Transfer Encoding: chunked", "Transfer-Encoding : chunked"))
                .plus(CONTROLS.map { "X${it}Bad: 1" })
                .map(::field),
        "another byte that no name of a field may have, no name or no colon" to
            listOf("X(Bad): 1", "X/Bad: 1", "\"X-Bad\": 1", "X@Bad: 1", "X-B\u00e4d: 1", ": 1", "X-Bad").map(::field),
        "a folded field" to listOf(" folded", "\tfolded", " X-Bad: 1", " ").map(::field),
        "a control byte in the value of a field" to CONTROLS.map { field("X-Bad: 1${it}1") },
        "a line of the head that ends without a carriage return" to
            listOf(field("X-Bad: 1\nX-Other: 1"), statusLine { "HTTP/1.1 ${it.status}\nX-Other: 1" }),
        "a length that is not one number" to
            listOf("-1", "+16", "0x10", "16, 16", "16, 17", "16 16", "9".repeat(20), "", "16\r\nContent-Length: 17")
                .map { length("Content-Length: $it") },
        "a transfer coding that the gateway did not offer, or that stands beside a length" to
            listOf("gzip", "gzip, chunked", "chunked, chunked", "identity", "xchunked")
                .plus("chunked\r\nTransfer-Encoding: gzip")
                .map { chunks(chunk(BODY) + LAST_CHUNK, coding = "Transfer-Encoding: $it\r\n") } +
            MalformedResponse("chunks in HTTP/1.0") { meaning, fields ->
                "HTTP/1.0 ${meaning.status}\r\n$fields$CHUNKED\r\n${chunk(BODY)}$LAST_CHUNK"
            } +
            length("${LENGTH}Transfer-Encoding: chunked"),
    )

/** Responses with a sound head and a malformed body, by the part in which the fault is. */
internal val MALFORMED_BODIES: Map<String, List<MalformedResponse>> =
    mapOf(
        "a chunk size that is not one hexadecimal number" to
            listOf("-1", "0x$SIZE", "g", "+$SIZE", "", "$SIZE $SIZE", "$SIZE\u0000", "$SIZE\r", "$SIZE\u0001", " $SIZE")
                .plus(listOf("$SIZE ", "$SIZE\t", "$SIZE,1", "$SIZE;a=\u0001", "FFFFFFFF", "10000000000000000$SIZE"))
                .map(::chunkSize),
        "a chunk that is longer than its size" to
            listOf("x\r\n", "\n", "\r", "xx").map { chunks("$SIZE\r\n$BODY$it$LAST_CHUNK") },
        "a line of the body that ends without a carriage return" to
            listOf("$SIZE\n$BODY\r\n$LAST_CHUNK", "${chunk(BODY)}0\n\n").map { chunks(it) },
        "a malformed trailer" to
            listOf("X Bad: 1", "X-Bad : 1", "X\u0001Bad: 1", "X-Bad: \u0000", " folded", "X-Bad").map(::trailer),
    )
