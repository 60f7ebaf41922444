package io.kumquattrail.forward.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kumquattrail.decision.route.CallerLimits
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private val LIMITS =
    CallerLimits(headerBytes = 2_000, bodyBytes = 10_000, headerTimeout = 1.seconds, idleTimeout = 2.seconds)

private const val REQUEST_LINE = "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key\r\n"

/** Interval at which listeners check for callers beyond a limit, and an allowance for a busy machine. */
private val TIMEOUT_MARGIN = 1_500.milliseconds

/** Runs [block] on a connection to a gateway with [LIMITS], and returns what the gateway sent until it closed it. */
private fun receivedUntilClosed(
    forwardedRequests: Int = 0,
    block: (Socket) -> Unit,
): String {
    val server =
        ScriptedServer { request, socket ->
            socket.send(response(request, "done"))
            true
        }
    try {
        GatewayFixture(listOf(server), callerLimits = LIMITS).use { fixture ->
            val received =
                fixture.connect().use { socket ->
                    block(socket)
                    socket.readUntilClosed()
                }
            server.received.size shouldBe forwardedRequests
            return received
        }
    } finally {
        server.close()
    }
}

class CallerLimitsSpec :
    DescribeSpec({
        // The callers of the platform's benchmark exceed only the idle timeout, so it doesn't cover the other limits.
        describe("callers that exceed the limits of the configuration") {
            it("a head over the limit is refused with 431, whether due to one long header or to many headers") {
                val long = "X-Long: ${"x".repeat(2_500)}\r\n"
                val many = (1..200).joinToString("") { "X-Header-$it: some\r\n" }
                listOf(long, many).forEach { headers ->
                    receivedUntilClosed {
                        it.send("$REQUEST_LINE${headers}Content-Length: 0\r\n\r\n")
                    } shouldContain "431"
                }
            }

            it("an endless head is refused with 431 before it fills the memory") {
                receivedUntilClosed { socket ->
                    runCatching {
                        socket.send(REQUEST_LINE)
                        repeat(1_000) { socket.send("X-Header-$it: ${"x".repeat(100)}\r\n") }
                    }
                } shouldContain "431"
            }

            it("a body over the limit is refused with 413, with a Content-Length as well as in chunks") {
                receivedUntilClosed { it.send("${REQUEST_LINE}Content-Length: 20000\r\n\r\n") } shouldContain "413"
                receivedUntilClosed { socket ->
                    socket.send("${REQUEST_LINE}Transfer-Encoding: chunked\r\n\r\n")
                    runCatching { repeat(20) { socket.send(chunk("x".repeat(1_000))) } }
                } shouldContain "413"
            }

            it("a caller that exceeds the time limit for a head is disconnected") {
                val (received, time) =
                    measureTimedValue {
                        receivedUntilClosed { socket ->
                            socket.send("POST /unsafe/x HTTP/1.1\r\nX-Slow: ")
                            runCatching {
                                repeat(40) {
                                    Thread.sleep(100)
                                    socket.send("x")
                                }
                            }
                        }
                    }
                received shouldNotContain "200 OK"
                time.inWholeMilliseconds shouldBeLessThan (4.seconds + TIMEOUT_MARGIN).inWholeMilliseconds
            }

            it("a caller that stops in the middle of a body is disconnected, and its request reaches no server") {
                val (_, time) =
                    measureTimedValue {
                        receivedUntilClosed { it.send("${REQUEST_LINE}Content-Length: 100\r\n\r\nhalf") }
                    }
                time.inWholeMilliseconds shouldBeLessThan (LIMITS.idleTimeout + TIMEOUT_MARGIN).inWholeMilliseconds
            }
        }

        describe("callers within the limits") {
            it("a caller can reuse a connection that was idle for four fifths of the idle timeout") {
                receivedUntilClosed(forwardedRequests = 2) { socket ->
                    repeat(2) {
                        socket.sendRequest("/unsafe/x", "POST", body = "y".repeat(9_000))
                        socket.readResponse()!!.body shouldBe "done"
                        if (it == 0) Thread.sleep((LIMITS.idleTimeout * 0.8).inWholeMilliseconds)
                    }
                }.lines().filter { it.startsWith("HTTP") }.shouldBeEmpty()
            }
        }
    })
