package io.kumquattrail.forward.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

private fun refusal(requestId: String?) =
    "HTTP/1.1 503 Service Unavailable\r\n" + (requestId?.let { "Request: $it\r\n" } ?: "") +
        "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

/**
 * Starts a server that refuses the first posting and runs the others, and writes [repeated] before its answers on used
 * connections. The postings that have run are added to [ran].
 */
private fun repeatingServer(
    repeated: String,
    ran: MutableList<String>,
): ScriptedServer {
    val usedSockets = CopyOnWriteArrayList<Socket>()
    return ScriptedServer { request, socket ->
        val isKept = !usedSockets.addIfAbsent(socket)
        if (request.body == "first") {
            socket.send(refusal("r-1"))
        } else {
            ran += request.body
            socket.send((if (isKept) repeated else "") + response(request, "done"))
        }
        true
    }
}

private fun Socket.sendPosting(
    body: String,
    requestId: String?,
) = send(
    "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nRemaining: 1500\r\nAuthorization: Token key\r\n" +
        (requestId?.let { "Request: $it\r\n" } ?: "") + "Content-Length: ${body.length}\r\n\r\n$body",
)

/**
 * Sends a posting that every server refuses, and then another one with [requestId]; returns the head of the response to the
 * second.
 */
private fun GatewayFixture.sendAfterRefusal(requestId: String?): String {
    connect().use {
        it.sendPosting("first", "r-1")
        it.readResponse()
    }
    // The connections to the servers are released after the response to the caller.
    Thread.sleep(50)
    return connect().use {
        it.sendPosting("second", requestId)
        it.readResponse()!!.head
    }
}

class RepeatedRefusalSpec :
    DescribeSpec({
        // The caller would be told that a request has not run, and would send it again, although it has run.
        describe("a server that writes an earlier refusal once more on a kept connection") {
            val repetitions =
                mapOf(
                    "with the id of the earlier request" to refusal("r-1"),
                    "without an id" to refusal(requestId = null),
                    "after an interim response" to "HTTP/1.1 102 Processing\r\n\r\n" + refusal(requestId = null),
                    "twice" to refusal("r-1") + refusal(requestId = null),
                )
            repetitions.forEach { (description, repeated) ->
                listOf("r-1", "r-2", null).forEach { nextId ->
                    val next =
                        when (nextId) {
                            null -> "a request without an id"
                            "r-1" -> "a request that its caller repeats under the same id"
                            else -> "another request"
                        }
                    it("does not make $next that it runs look refused, if it repeats the refusal $description") {
                        val ran = CopyOnWriteArrayList<String>()
                        withGateway(repeatingServer(repeated, ran)) { fixture ->
                            val head = fixture.sendAfterRefusal(nextId)
                            withClue(fixture.log()) {
                                ran.size shouldBe 1
                                head shouldNotContain " 503 "
                            }
                        }
                    }

                    // The gateway would take the repeated refusal for the server's answer and try another server.
                    it("does not make $next run at two servers, if it repeats the refusal $description") {
                        val ran = CopyOnWriteArrayList<String>()
                        val servers = List(2) { repeatingServer(repeated, ran) }
                        withGateway(*servers.toTypedArray()) { fixture ->
                            fixture.sendAfterRefusal(nextId)
                            withClue(fixture.log()) { ran.size shouldBe 1 }
                        }
                    }
                }
            }
        }

        // Without these fields, the log cannot show which proof let a request run at a second server.
        it("is logged with its connection, the number of the request on it and whether it names the request") {
            val ran = CopyOnWriteArrayList<String>()
            withGateway(repeatingServer(repeated = "", ran)) { fixture ->
                fixture.connect().use {
                    it.sendPosting("first", "r-1")
                    it.readResponse()
                }
                val attempt = fixture.log().lines().first { "request_attempt" in it }
                attempt shouldContain "\"failure\":\"NOT_RUN\""
                attempt shouldContain "\"connection_request\":1"
                attempt shouldContain "\"names_request\":true"
                attempt shouldContain "\"response_after_ms\":"
                Regex("\"connection\":(\\d+)").find(attempt)!!.groupValues[1].toInt() shouldBeGreaterThan 0
            }
        }

        // A proof that is wrong shows in this counter, even where the log is gone.
        it("is counted by kind when a request that may run only once is sent again because of it") {
            val servers =
                List(2) { index ->
                    ScriptedServer { request, socket ->
                        socket.send(if (index == 0) refusal(request.header("Request")) else response(request, "done"))
                        true
                    }
                }
            withGateway(*servers.toTypedArray()) { fixture ->
                repeat(8) { number ->
                    fixture.connect().use {
                        it.sendPosting("p$number", "r-$number")
                        it.readResponse()
                    }
                }
                val refused = servers[0].received.size
                refused shouldBeGreaterThan 0
                fixture.metrics() shouldContain
                    "kumquattrail_forward_unrepeatable_retries_total{proof=\"NOT_RUN\"} $refused.0"
            }
        }
    })
