package io.kumquattrail.forward.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Length of a body in bytes that exceeds the buffers of the sockets to a caller that does not read. */
private const val LONG_BODY_BYTES = 3_000_000

/** Time after the signal at which the gateway of the fixture has refused new requests for some time, in milliseconds. */
private const val LATE_IN_STOP_MILLISECONDS = 2_700L

/** Stops the gateway as its process does, which exits when the stop is complete; [onExit] is called instead. */
private fun GatewayFixture.stop(onExit: () -> Unit = {}): CountDownLatch {
    val exited = CountDownLatch(1)
    gateway.stop("TERM") {
        onExit()
        gateway.close()
        exited.countDown()
    }
    return exited
}

class PlannedStopSpec :
    DescribeSpec({
        describe("a planned stop") {
            // A caller whose connection is closed does not know whether its posting has run.
            it("answers a request that still runs at the end of the grace with 504") {
                val server = ScriptedServer { _, _ -> true }
                withGateway(server, timeout = 8.seconds) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST", remaining = 8_000)
                        server.awaitRequests(1)
                        fixture.stop()
                        it.readResponse().shouldNotBeNull().head shouldContain " 504 "
                    }
                    fixture.log() shouldContain "\"reason\":\"stopping\""
                }
            }

            it("does not end a stream that is cut at the end of the grace as complete") {
                val server =
                    ScriptedServer { request, socket ->
                        socket.send(streamHead(request) + chunk(event(1)))
                        Thread.sleep(10_000)
                        false
                    }
                withGateway(server, timeout = 8.seconds) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/streaming/x", "POST", remaining = 8_000)
                        server.awaitRequests(1)
                        fixture.stop()
                        it.readUntilClosed().contains(LAST_CHUNK) shouldBe false
                    }
                }
            }

            // A complete answer of a server would be lost because its caller reads slowly.
            it("waits for a caller that still reads its answer") {
                val server =
                    ScriptedServer { request, socket ->
                        socket.send(response(request, "x".repeat(LONG_BODY_BYTES)))
                        true
                    }
                withGateway(server, timeout = 8.seconds) { fixture ->
                    fixture.connect(receiveBytes = 16_384).use {
                        it.sendRequest("/safe/x", remaining = 8_000)
                        server.awaitRequests(1)
                        Thread.sleep(200)
                        val exited = fixture.stop()
                        Thread.sleep(LATE_IN_STOP_MILLISECONDS)
                        it
                            .readResponse()
                            .shouldNotBeNull()
                            .body.length shouldBe LONG_BODY_BYTES
                        exited.await(2, TimeUnit.SECONDS) shouldBe true
                    }
                }
            }

            // Work that is taken late would be cut at the end of the grace.
            it("refuses a request that comes late as not run, on a new connection") {
                val server =
                    ScriptedServer { request, socket ->
                        if (request.header("Request") == "r-slow") Thread.sleep(2_900)
                        socket.send(response(request, "done"))
                        true
                    }
                withGateway(server, timeout = 8.seconds) { fixture ->
                    val slow = fixture.connect()
                    slow.sendRequest("/unsafe/x", "POST", remaining = 8_000, requestId = "r-slow")
                    server.awaitRequests(1)
                    fixture.stop()
                    Thread.sleep(LATE_IN_STOP_MILLISECONDS)
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST", remaining = 8_000, requestId = "r-late")
                        it.readResponse().shouldNotBeNull().head shouldContain " 503 "
                    }
                    slow.use { it.readResponse().shouldNotBeNull().body shouldBe "done" }
                    server.received shouldHaveSize 1
                }
            }

            it("a request that was partly received when a planned stop began is served") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.send("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\n")
                        Thread.sleep(100)
                        fixture.gateway.stop("TERM") {}
                        Thread.sleep(100)
                        it.send("Remaining: 1500\r\nAuthorization: Token key\r\n\r\n")
                        it.readResponse()!!.body shouldBe "done"
                    }
                }
            }

            it("a request that arrives on a keep-alive connection right after a planned stop began is served") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/safe/x")
                        it.readResponse()!!.body shouldBe "done"
                        fixture.gateway.stop("TERM") {}
                        Thread.sleep(200)
                        it.sendRequest("/safe/x")
                        val answer = it.readResponse()!!
                        answer.body shouldBe "done"
                        answer.head.lowercase() shouldContain "connection: close"
                    }
                }
            }
        }
    })
