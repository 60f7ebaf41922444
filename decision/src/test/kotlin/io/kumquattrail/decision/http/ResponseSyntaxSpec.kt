package io.kumquattrail.decision.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private const val SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
private const val CHUNKS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"

/** Faults with the bytes before the faulty line and those from it on. */
private val FAULTS: Map<String, Pair<String, String>> =
    mapOf(
        "status 000 is outside 100 to 599" to (SOUND to "HTTP/1.1 000 None\r\n"),
        "status is not a number of three digits" to (SOUND to "HTTP/1.1 0200 OK\r\n"),
        "status 101 without a request to switch protocols" to (SOUND to "HTTP/1.1 101 Other\r\n"),
        "version is not HTTP/1.x" to (SOUND to "HTTP/2.0 200 OK\r\n"),
        "byte 0x00 in the status line" to (SOUND to "HTTP/1.1 200 O\u0000K\r\n"),
        "byte 0x20 in the name of a field" to ("HTTP/1.1 200 OK\r\nX: 1\r\n" to "X Bad: 1\r\n"),
        "byte 0xe4 in the name of a field" to ("HTTP/1.1 200 OK\r\n" to "X-B\u00e4d: 1\r\n"),
        "byte 0x0d in the value of a field" to ("HTTP/1.1 200 OK\r\n" to "X-Bad: 1\r1\r\n"),
        "folded field" to ("HTTP/1.1 200 OK\r\nX: 1\r\n" to " 2\r\n"),
        "field without a colon" to ("HTTP/1.1 200 OK\r\n" to "X\r\n"),
        "field without a name" to ("HTTP/1.1 200 OK\r\n" to ": 1\r\n"),
        "line that ends without a carriage return" to ("HTTP/1.1 200 OK\r\n" to "X: 1\n"),
        "length is not a number" to ("HTTP/1.1 200 OK\r\n" to "Content-Length: +3\r\n"),
        "more than one length" to ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" to "content-length: 3\r\n"),
        "transfer coding other than chunked" to ("HTTP/1.1 200 OK\r\n" to "Transfer-Encoding: gzip\r\n"),
        "length beside chunks" to
            ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n" to "\r\n"),
        "chunks in HTTP/1.0" to ("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" to "\r\n"),
        "chunk size that is not a hexadecimal number of 31 bits" to (CHUNKS to "80000000\r\n"),
        "chunk size that is followed by more than an extension" to (CHUNKS to "3 3\r\n"),
        "byte 0x01 in the extension of a chunk" to (CHUNKS to "3;\u0001\r\n"),
        "chunk that is longer than its size" to ("${CHUNKS}3\r\nabc" to "de"),
    )

private val OUTSIDE = SyntaxFault(reason = "status 000 is outside 100 to 599", soundBytes = 0)

private val WELL_FORMED =
    listOf(
        SOUND,
        "${CHUNKS}00A ;x=\"y\"\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n",
        "HTTP/1.1 103 Early\r\nContent-Length: 9\r\n\r\n$SOUND",
        "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
    )

private fun ResponseSyntax.read(text: String): SyntaxFault? = read(text.length) { text[it].code.toByte() }

class ResponseSyntaxSpec :
    DescribeSpec({
        FAULTS.forEach { (reason, parts) ->
            val (before, malformed) = parts
            // A fault that is found only in one piece, or late, would let a part of the response through.
            it("finds \"$reason\", however the bytes are split") {
                val text = before + malformed
                (0..text.length).forEach { cut ->
                    val syntax = ResponseSyntax()
                    val first = syntax.read(text.take(cut))
                    val fault = (first ?: syntax.read(text.drop(cut))).shouldNotBeNull()
                    withClue("cut at $cut") {
                        fault.reason shouldBe reason
                        val expected = if (first != null) before.length else maxOf(0, before.length - cut)
                        fault.soundBytes shouldBe expected
                    }
                }
            }
        }

        // Bytes after a fault belong to no response, even if they look like one.
        it("does not read on after a fault") {
            val syntax = ResponseSyntax()
            syntax.read("HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n").shouldNotBeNull()
            syntax.read(SOUND) shouldBe OUTSIDE
        }

        // A check that loses its place would take the bytes of a body for a head, and the reverse.
        it("finds where each well-formed response ends, however the bytes are split") {
            WELL_FORMED.forEach { first ->
                WELL_FORMED.forEach { second ->
                    val text = first + second
                    (0..text.length).forEach { cut ->
                        val syntax = ResponseSyntax()
                        withClue("$text, cut at $cut") {
                            syntax.read(text.take(cut)) shouldBe null
                            syntax.read(text.drop(cut)) shouldBe null
                            syntax.read("HTTP/1.1 000 None\r\n") shouldBe OUTSIDE
                        }
                    }
                }
            }
        }

        it("reads a body without a length to the end of the connection") {
            val syntax = ResponseSyntax()
            syntax.read("HTTP/1.1 200 OK\r\n\r\nX Bad: 1\r\n") shouldBe null
            syntax.read("\u0000\n\nHTTP/1.1 000 None\r\n") shouldBe null
        }

        // A line without an end would fill the memory.
        it("gives up a line that is longer than any of a response") {
            val syntax = ResponseSyntax()
            syntax.read("HTTP/1.1 200 OK\r\nX: ") shouldBe null
            val fault = generateSequence { "x".repeat(1_000) }.take(100).firstNotNullOfOrNull { syntax.read(it) }
            fault?.reason shouldBe "line of more than 65536 bytes"
        }
    })
