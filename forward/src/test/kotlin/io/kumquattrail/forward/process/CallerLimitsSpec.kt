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

/** The time in which listeners look for callers beyond a limit, and some for a busy machine. */
private val MARGIN = 1_500.milliseconds

/** Has [block] talk to a gateway with [LIMITS], and returns what the gateway has sent until it closed the connection. */
private fun untilClosed(
    passedOn: Int = 0,
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
                    socket.untilEnd()
                }
            server.received.size shouldBe passedOn
            return received
        }
    } finally {
        server.close()
    }
}

class CallerLimitsSpec :
    DescribeSpec({
        // The callers of the platform's bench stay within all limits but the last, so nothing else shows these.
        describe("a caller that exceeds the limits of the configuration") {
            it("gets 431 for a longer head, whether one header or their number makes it long") {
                val long = "X-Long: ${"x".repeat(2_500)}\r\n"
                val many = (1..200).joinToString("") { "X-Header-$it: some\r\n" }
                listOf(long, many).forEach { headers ->
                    untilClosed { it.send("$REQUEST_LINE${headers}Content-Length: 0\r\n\r\n") } shouldContain "431"
                }
            }

            it("gets 431 for a head without end, before it fills the memory") {
                untilClosed { socket ->
                    runCatching {
                        socket.send(REQUEST_LINE)
                        repeat(1_000) { socket.send("X-Header-$it: ${"x".repeat(100)}\r\n") }
                    }
                } shouldContain "431"
            }

            it("gets 413 for a longer body, with a length or in chunks") {
                untilClosed { it.send("${REQUEST_LINE}Content-Length: 20000\r\n\r\n") } shouldContain "413"
                untilClosed { socket ->
                    socket.send("${REQUEST_LINE}Transfer-Encoding: chunked\r\n\r\n")
                    runCatching { repeat(20) { socket.send(chunk("x".repeat(1_000))) } }
                } shouldContain "413"
            }

            it("is cut off when it writes on at one head beyond the time for it") {
                val (received, time) =
                    measureTimedValue {
                        untilClosed { socket ->
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
                time.inWholeMilliseconds shouldBeLessThan (4.seconds + MARGIN).inWholeMilliseconds
            }

            it("is cut off when it stops in the middle of a body, and its request reaches no server") {
                val (_, time) =
                    measureTimedValue {
                        untilClosed { it.send("${REQUEST_LINE}Content-Length: 100\r\n\r\nhalf") }
                    }
                time.inWholeMilliseconds shouldBeLessThan (LIMITS.idleTimeout + MARGIN).inWholeMilliseconds
            }
        }

        describe("a caller within the limits") {
            it("uses a connection again that has rested for four fifths of the time") {
                untilClosed(passedOn = 2) { socket ->
                    repeat(2) {
                        socket.ask("/unsafe/x", "POST", body = "y".repeat(9_000))
                        socket.answer()!!.body shouldBe "done"
                        if (it == 0) Thread.sleep((LIMITS.idleTimeout * 0.8).inWholeMilliseconds)
                    }
                }.lines().filter { it.startsWith("HTTP") }.shouldBeEmpty()
            }
        }
    })
