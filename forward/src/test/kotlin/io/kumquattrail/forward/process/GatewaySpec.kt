package io.kumquattrail.forward.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kumquattrail.decision.route.EngineFigures
import io.kumquattrail.decision.route.Organisation
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GatewaySpec :
    DescribeSpec({
        describe("forwarding requests") {
            it("a request is forwarded unchanged except for the gateway's headers, and the response unchanged") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                withGateway(server) { fixture ->
                    fixture.connect().use { caller ->
                        caller.sendRequest(
                            "/unsafe/x?y=1",
                            "POST",
                            "pay 120",
                            "Other: kept\r\nOrganisation: forged\r\n",
                        )
                        val answer = caller.readResponse()!!
                        answer.head shouldContain "200 OK"
                        answer.head shouldContain "Signature: s1"
                        answer.body shouldBe "done"
                    }
                    val received = server.received.single()
                    received.head shouldContain "POST /unsafe/x?y=1 HTTP/1.1"
                    received.body shouldBe "pay 120"
                    received.header("Other") shouldBe "kept"
                    received.header("Organisation") shouldBe "hanbit"
                    received.header("Expected") shouldBe "s0"
                    received.header("Authorization").shouldBeNull()
                    received.header("Remaining")!!.toInt() shouldBeLessThan 1_501
                }
            }

            it("a request that a server refuses as not run goes to another server, even if it is unrepeatable") {
                val full =
                    ScriptedServer { request, socket ->
                        socket.send(response(request, "", "503 Full", headers = "Not-Run: 1\r\n")).let { true }
                    }
                val other = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                withGateway(full, other) { fixture ->
                    repeat(4) {
                        fixture.connect().use {
                            it.sendRequest("/unsafe/x", "POST").let { _ ->
                                it.readResponse()!!.body shouldBe
                                    "done"
                            }
                        }
                    }
                    other.received.size shouldBe 4
                }
            }

            it("an unrepeatable request that may have run is answered with 502 and not sent again") {
                val servers = List(2) { ScriptedServer { _, _ -> false } }
                withGateway(*servers.toTypedArray()) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST")
                        it.readResponse()!!.head shouldContain "502"
                    }
                    servers.sumOf { it.received.size } shouldBe 1
                }
            }

            it("a repeatable request is sent to another server when the first server truncates its response") {
                val truncating =
                    ScriptedServer {
                        request,
                        socket,
                        ->
                        socket.send(response(request, "done").dropLast(2)).let { false }
                    }
                val complete = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                withGateway(truncating, complete) { fixture ->
                    repeat(4) {
                        fixture.connect().use {
                            it.sendRequest("/safe/x").let { _ ->
                                it.readResponse()!!.body shouldBe "done"
                            }
                        }
                    }
                }
            }

            it("a late response to another request on the same connection is discarded") {
                val server =
                    ScriptedServer { request, socket ->
                        socket
                            .send(
                                response(request, "wrong", requestId = "r-0") + response(request, "right"),
                            ).let { true }
                    }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST")
                        it.readResponse()!!.body shouldBe "right"
                    }
                }
            }

            it("a success response without the server's signature is not forwarded") {
                val server =
                    ScriptedServer {
                        request,
                        socket,
                        ->
                        socket.send(response(request, "x", headers = "")).let { true }
                    }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST")
                        it.readResponse()!!.head shouldContain "502"
                    }
                }
            }

            it("a request that reaches its route's timeout is answered with 504") {
                val server = ScriptedServer { _, socket -> (socket.getInputStream().read() >= 0) }
                withGateway(server, timeout = 300.milliseconds) { fixture ->
                    fixture.connect().use {
                        val startNanos = System.nanoTime()
                        it.sendRequest("/unsafe/x", "POST")
                        it.readResponse()!!.head shouldContain "504"
                        (System.nanoTime() - startNanos) / 1_000_000 shouldBeLessThan 600
                    }
                }
            }

            it("a request that could only start after its latency target is refused as not run") {
                val server = ScriptedServer { _, socket -> (socket.getInputStream().read() >= 0) }
                withGateway(server, slots = 1) { fixture ->
                    fixture.connect().use { first ->
                        first.sendRequest("/unsafe/x", "POST")
                        server.awaitRequests(1)
                        fixture.connect().use { second ->
                            second.sendRequest("/unsafe/y", "POST")
                            val refused = second.readResponse()!!
                            refused.head shouldContain "503"
                            refused.head shouldContain "Retry-After"
                        }
                    }
                    server.received.size shouldBe 1
                }
            }

            // Servers refuse such a request in the same way as when they are full. If it is sent all the same, up
            // to four servers receive it, and each is then considered full for other requests.
            it("a request with a prompt that exceeds the memory of every server is refused without being sent") {
                val server =
                    ScriptedServer { request, socket ->
                        socket.send(response(request, "", "503 Full", headers = "Not-Run: yes\r\n"))
                        true
                    }
                val engine =
                    EngineFigures(
                        batchSlots = 8,
                        memoryTokens = 1_000,
                        stepTime = 5.milliseconds,
                        stepTimePerRequest = 1.milliseconds,
                        promptTokensPerSecond = 60_000.0,
                        usualPromptTokens = 700,
                        usualAnswerTokens = 80,
                    )
                GatewayFixture(listOf(server), engine = engine).use { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/streaming/x", "POST", headers = "Tokens: 1001,80\r\n")
                        it.readResponse()!!.head shouldContain "503"
                        server.received.shouldBeEmpty()
                        it.sendRequest("/streaming/x", "POST", headers = "Tokens: 1000,80\r\n")
                        it.readResponse()
                        server.received.shouldNotBeEmpty()
                    }
                    fixture.log() shouldContain "larger_than_memory"
                }
                server.close()
            }

            it("a request refused by a broken group gets a Retry-After that covers the time to form the group anew") {
                val broken =
                    ScriptedServer { request, socket ->
                        val headers = "Not-Run: 1\r\nFaulty: 127.0.0.1:9\r\n"
                        socket.send(response(request, "", "503 Broken", headers = headers)).let { true }
                    }
                withGateway(broken) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/streaming/x", "POST")
                        val seconds = it.readResponse()!!.header("Retry-After")!!.toDouble()
                        (seconds in 2.2..2.64) shouldBe true
                    }
                }
            }

            it("a request is refused while the configuration is unconfirmed, because its key may have been revoked") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                withGateway(server, confirmed = false) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/safe/x")
                        it.readResponse()!!.head shouldContain "503"
                    }
                    server.received.size shouldBe 0
                }
            }
        }

        describe("streams") {
            it("an interrupted stream is resumed at another server after the last complete event, in one response") {
                val truncating =
                    ScriptedServer { request, socket ->
                        socket.send(streamHead(request) + chunk(event(1) + event(2)) + chunk("id: 3\nda")).let { false }
                    }
                val resuming =
                    ScriptedServer { request, socket ->
                        val from = (request.header("Last-Event")?.toInt() ?: 0) + 1
                        socket.send(streamHead(request) + chunk((from..4).joinToString("") { event(it) }) + LAST_CHUNK)
                        true
                    }
                withGateway(truncating, resuming) { fixture ->
                    repeat(3) {
                        fixture.connect().use {
                            it.sendRequest("/streaming/x", "POST", headers = "Connection: close\r\n")
                            val text = it.readUntilClosed()
                            Regex("id: (\\d)")
                                .findAll(text)
                                .map { match ->
                                    match.groupValues[1]
                                }.toList() shouldContainExactly
                                listOf("1", "2", "3", "4")
                            text shouldContain LAST_CHUNK
                        }
                    }
                }
            }

            it("a stream that no server finishes does not look complete to the caller") {
                val truncating =
                    ScriptedServer {
                        request,
                        socket,
                        ->
                        socket.send(streamHead(request) + chunk(event(1))).let { false }
                    }
                withGateway(truncating) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/streaming/x", "POST")
                        val text = it.readUntilClosed()
                        text shouldContain "id: 1"
                        text shouldNotContain LAST_CHUNK
                    }
                }
            }
        }

        describe("a caller that disconnects") {
            it("a request is cancelled at the server within half a second after its caller disconnects") {
                var closedAt = 0L
                val server =
                    ScriptedServer { _, socket ->
                        runCatching { socket.getInputStream().read() }
                        closedAt = System.nanoTime()
                        false
                    }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/safe/x")
                        server.awaitRequests(1)
                    }
                    val disconnectedAt = System.nanoTime()
                    while (closedAt == 0L && System.nanoTime() - disconnectedAt < 2_000_000_000) Thread.sleep(5)
                    (closedAt - disconnectedAt) / 1_000_000 shouldBeLessThan 500
                }
            }
        }

        describe("a graceful stop") {
            it("a stopping gateway finishes the request in progress and closes keep-alive connections") {
                val server =
                    ScriptedServer { request, socket ->
                        Thread.sleep(300)
                        socket.send(response(request, "done")).let { true }
                    }
                withGateway(server) { fixture ->
                    val idle = fixture.connect()
                    fixture.connect().use {
                        it.sendRequest("/safe/x")
                        server.awaitRequests(1)
                        fixture.gateway.stop("TERM") {}
                        val answer = it.readResponse()!!
                        answer.body shouldBe "done"
                        answer.head.lowercase() shouldContain "connection: close"
                    }
                    idle.readUntilClosed() shouldBe ""
                    fixture.gateway.state.isReady shouldBe false
                }
            }
        }

        describe("the metrics") {
            it("the metrics count a served request and measure its waiting time and its time to first byte") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/safe/x")
                        it.readResponse()
                    }
                    val text = fixture.metrics()
                    text shouldContain "kumquattrail_forward_requests_total{kind=\"SAFE\",outcome=\"answered_200\"} 1.0"
                    text shouldContain "kumquattrail_forward_waiting_seconds_count{kind=\"SAFE\"} 1"
                    text shouldContain "kumquattrail_forward_first_byte_seconds_count{kind=\"SAFE\"} 1"
                }
            }
        }

        describe("the log") {
            it("the log has one line per decision on a request, with the request id and the reason") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/safe/x")
                        it.readResponse()
                        it.sendRequest("/none/x")
                        it.readResponse()
                    }
                    val lines = fixture.log().lines().filter { "\"id\":\"r-1\"" in it }
                    lines.size shouldBe 2
                    lines[0] shouldContain "\"event\":\"request_attempt\""
                    lines[0] shouldContain "\"configuration\":1"
                    lines[1] shouldContain "\"reason\":\"no_route\""
                }
            }
        }
    })
