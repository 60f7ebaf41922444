package io.kumquattrail.forward.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

private const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"

/** Ways in which a run ends after its second event. */
private val BREAKS: Map<String, (ReceivedMessage, Socket) -> Unit> =
    mapOf(
        "with a reset" to { request, socket ->
            socket.send(streamHead(request) + chunk(event(1) + event(2)))
            Thread.sleep(30)
            socket.setSoLinger(true, 0)
        },
        "inside a chunk" to { request, socket ->
            socket.send(streamHead(request) + chunk(event(1) + event(2)) + "ff\r\nid: 3")
        },
        "inside an event with a proper end" to { request, socket ->
            socket.send(streamHead(request) + chunk(event(1) + event(2) + "id: 3\nda") + LAST_CHUNK)
        },
    )

private fun answer(
    body: String,
    status: String = "200 OK",
    headers: String = "Signature: s2\r\n$EVENT_STREAM",
): (ReceivedMessage) -> String = { response(it, body, status = status, headers = headers) }

/** Answers to the request for the rest of a stream that are no continuation of it. */
private val FAILURES: Map<String, (ReceivedMessage) -> String> =
    mapOf(
        "a page" to answer("<html>oops</html>\n\n", headers = "Signature: s2\r\nContent-Type: text/html\r\n"),
        "a page that claims to be a stream" to answer("<html>oops</html>\n\n"),
        "a page without a blank line" to answer("<html>oops</html>"),
        "an empty page" to answer("", headers = "Signature: s2\r\nContent-Type: text/html\r\n"),
        "an event without an id" to answer("event: error\ndata: oops\n\n"),
        "an event without an id after a repeated one" to answer(event(2) + "event: error\ndata: oops\n\n"),
        "no content" to { "HTTP/1.1 204 No Content\r\nRequest: ${it.header("Request")}\r\nSignature: s2\r\n\r\n" },
        "another success status" to answer(event(3), status = "206 Partial Content"),
        "a signed error" to answer("oops", status = "500 Internal Server Error"),
        "an unsigned error" to answer("oops", status = "500 Internal Server Error", headers = ""),
        "an unsigned success" to answer(event(3), headers = EVENT_STREAM),
        "a gap" to answer(event(4)),
        "no HTTP" to { "oops\r\n\r\n" },
    )

/** Starts two servers whose first run of a stream ends early, and which answer [rest] to the request for the rest. */
private fun breakingServers(
    breakOff: (ReceivedMessage, Socket) -> Unit,
    rest: (ReceivedMessage) -> String,
) = List(2) {
    ScriptedServer { request, socket ->
        if (request.header("Last-Event") == null) breakOff(request, socket) else socket.send(rest(request))
        false
    }
}.toTypedArray()

private fun GatewayFixture.receiveStream() =
    connect().use {
        it.sendRequest("/streaming/x", "POST", headers = "Connection: close\r\n", remaining = 4_000)
        it.readUntilClosed()
    }

private fun eventIds(text: String) = Regex("id: (\\d+)").findAll(text).map { it.groupValues[1] }.toList()

class ResumedStreamSpec :
    DescribeSpec({
        describe("a stream that broke off") {
            BREAKS.forEach { (way, breakOff) ->
                // The caller would find the error in the middle of its stream, or take the stream for complete.
                FAILURES.forEach { (failure, rest) ->
                    it("is neither joined with $failure nor ended as complete after a run that ended $way") {
                        withGateway(*breakingServers(breakOff, rest), timeout = 4.seconds) { fixture ->
                            val text = fixture.receiveStream()
                            withClue(text) {
                                eventIds(text) shouldContainExactly listOf("1", "2")
                                text shouldNotContain "oops"
                                text shouldNotContain LAST_CHUNK
                            }
                        }
                    }
                }

                it("goes on with the rest of another server after a run that ended $way") {
                    val rest: (ReceivedMessage) -> String = { request ->
                        streamHead(request) + chunk(": resumed\n\n" + event(2) + event(3)) + LAST_CHUNK
                    }
                    withGateway(*breakingServers(breakOff, rest), timeout = 4.seconds) { fixture ->
                        val text = fixture.receiveStream()
                        withClue(text) {
                            eventIds(text) shouldContainExactly listOf("1", "2", "3")
                            text shouldEndWith LAST_CHUNK
                        }
                    }
                }

                it("ends as complete if another server has nothing left to send after a run that ended $way") {
                    val rest: (ReceivedMessage) -> String = { streamHead(it) + LAST_CHUNK }
                    withGateway(*breakingServers(breakOff, rest), timeout = 4.seconds) { fixture ->
                        fixture.receiveStream() shouldEndWith LAST_CHUNK
                    }
                }
            }
        }

        describe("a stream whose events have no ids") {
            // A second run would send the events again from the first one on.
            it("is not continued by another run") {
                val servers =
                    List(2) {
                        ScriptedServer { request, socket ->
                            socket.send(streamHead(request) + chunk("data: a\n\ndata: b\n\n") + "ff\r\n")
                            false
                        }
                    }
                withGateway(*servers.toTypedArray(), timeout = 4.seconds) { fixture ->
                    val text = fixture.receiveStream()
                    withClue(text) {
                        Regex("data: (.)").findAll(text).map { it.groupValues[1] }.toList() shouldContainExactly
                            listOf("a", "b")
                        text shouldNotContain LAST_CHUNK
                    }
                }
            }
        }
    })
