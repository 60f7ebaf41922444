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
        describe("a request") {
            it("reaches a server unchanged but for the headers of the gateway, and its answer comes back unchanged") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                serving(server) { fixture ->
                    fixture.connect().use { caller ->
                        caller.ask("/unsafe/x?y=1", "POST", "pay 120", "Other: kept\r\nOrganisation: forged\r\n")
                        val answer = caller.answer()!!
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

            it("that a server refuses as not run goes to another server, also when it must not run twice") {
                val full =
                    ScriptedServer { request, socket ->
                        socket.send(response(request, "", "503 Full", headers = "Not-Run: 1\r\n")).let { true }
                    }
                val other = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                serving(full, other) { fixture ->
                    repeat(4) {
                        fixture.connect().use {
                            it.ask("/unsafe/x", "POST").let { _ ->
                                it.answer()!!.body shouldBe
                                    "done"
                            }
                        }
                    }
                    other.received.size shouldBe 4
                }
            }

            it("that may have run and must not run twice is answered without a promise and not sent again") {
                val servers = List(2) { ScriptedServer { _, _ -> false } }
                serving(*servers.toTypedArray()) { fixture ->
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST")
                        it.answer()!!.head shouldContain "502"
                    }
                    servers.sumOf { it.received.size } shouldBe 1
                }
            }

            it("that may be repeated is sent to another server when the first breaks its answer off") {
                val cut =
                    ScriptedServer {
                        request,
                        socket,
                        ->
                        socket.send(response(request, "done").dropLast(2)).let { false }
                    }
                val whole = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                serving(cut, whole) { fixture ->
                    repeat(4) {
                        fixture.connect().use {
                            it.ask("/safe/x").let { _ ->
                                it.answer()!!.body shouldBe "done"
                            }
                        }
                    }
                }
            }

            it("gets no answer of another request that comes late on the same connection") {
                val server =
                    ScriptedServer { request, socket ->
                        socket
                            .send(
                                response(request, "wrong", requestId = "r-0") + response(request, "right"),
                            ).let { true }
                    }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST")
                        it.answer()!!.body shouldBe "right"
                    }
                }
            }

            it("gets no success without the server's signature") {
                val server =
                    ScriptedServer {
                        request,
                        socket,
                        ->
                        socket.send(response(request, "x", headers = "")).let { true }
                    }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST")
                        it.answer()!!.head shouldContain "502"
                    }
                }
            }

            it("ends at its route's timeout, and the server sees its connection close") {
                val server = ScriptedServer { _, socket -> (socket.getInputStream().read() >= 0) }
                serving(server, timeout = 300.milliseconds) { fixture ->
                    fixture.connect().use {
                        val began = System.nanoTime()
                        it.ask("/unsafe/x", "POST")
                        it.answer()!!.head shouldContain "504"
                        (System.nanoTime() - began) / 1_000_000 shouldBeLessThan 600
                    }
                }
            }

            it("is refused as not run at once when it could only start after its latency target") {
                val server = ScriptedServer { _, socket -> (socket.getInputStream().read() >= 0) }
                serving(server, slots = 1) { fixture ->
                    fixture.connect().use { first ->
                        first.ask("/unsafe/x", "POST")
                        server.awaitRequests(1)
                        fixture.connect().use { second ->
                            second.ask("/unsafe/y", "POST")
                            val refused = second.answer()!!
                            refused.head shouldContain "503"
                            refused.head shouldContain "Retry-After"
                        }
                    }
                    server.received.size shouldBe 1
                }
            }

            // Servers refuse it as if they were full, so it was tried on up to four, and each counted as full for others.
            it("with a prompt that fits into no server's memory is refused at once and sent to none") {
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
                        it.ask("/streaming/x", "POST", headers = "Tokens: 1001,80\r\n")
                        it.answer()!!.head shouldContain "503"
                        server.received.shouldBeEmpty()
                        it.ask("/streaming/x", "POST", headers = "Tokens: 1000,80\r\n")
                        it.answer()
                        server.received.shouldNotBeEmpty()
                    }
                    fixture.log() shouldContain "larger_than_memory"
                }
                server.close()
            }

            it("that a broken group refuses is told to return when the group has formed anew, not at once") {
                val broken =
                    ScriptedServer { request, socket ->
                        val headers = "Not-Run: 1\r\nFaulty: 127.0.0.1:9\r\n"
                        socket.send(response(request, "", "503 Broken", headers = headers)).let { true }
                    }
                serving(broken) { fixture ->
                    fixture.connect().use {
                        it.ask("/streaming/x", "POST")
                        val seconds = it.answer()!!.header("Retry-After")!!.toDouble()
                        (seconds in 2.2..2.64) shouldBe true
                    }
                }
            }

            it("is refused while the configuration is not confirmed, as its key may have been revoked") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                serving(server, confirmed = false) { fixture ->
                    fixture.connect().use {
                        it.ask("/safe/x")
                        it.answer()!!.head shouldContain "503"
                    }
                    server.received.size shouldBe 0
                }
            }
        }

        describe("a stream") {
            it("goes on at another server after the last whole event, in one answer") {
                val cut =
                    ScriptedServer { request, socket ->
                        socket.send(streamHead(request) + chunk(event(1) + event(2)) + chunk("id: 3\nda")).let { false }
                    }
                val rest =
                    ScriptedServer { request, socket ->
                        val from = (request.header("Last-Event")?.toInt() ?: 0) + 1
                        socket.send(streamHead(request) + chunk((from..4).joinToString("") { event(it) }) + LAST_CHUNK)
                        true
                    }
                serving(cut, rest) { fixture ->
                    repeat(3) {
                        fixture.connect().use {
                            it.ask("/streaming/x", "POST", headers = "Connection: close\r\n")
                            val text = it.untilEnd()
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

            it("that no server finishes does not look complete") {
                val cut =
                    ScriptedServer {
                        request,
                        socket,
                        ->
                        socket.send(streamHead(request) + chunk(event(1))).let { false }
                    }
                serving(cut) { fixture ->
                    fixture.connect().use {
                        it.ask("/streaming/x", "POST")
                        val text = it.untilEnd()
                        text shouldContain "id: 1"
                        text shouldNotContain LAST_CHUNK
                    }
                }
            }
        }

        describe("a caller that leaves") {
            it("ends its request at the server within half a second") {
                var closedAt = 0L
                val server =
                    ScriptedServer { _, socket ->
                        runCatching { socket.getInputStream().read() }
                        closedAt = System.nanoTime()
                        false
                    }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/safe/x")
                        server.awaitRequests(1)
                    }
                    val left = System.nanoTime()
                    while (closedAt == 0L && System.nanoTime() - left < 2_000_000_000) Thread.sleep(5)
                    (closedAt - left) / 1_000_000 shouldBeLessThan 500
                }
            }
        }

        describe("a stop") {
            it("finishes the request in progress and takes no more on kept connections") {
                val server =
                    ScriptedServer { request, socket ->
                        Thread.sleep(300)
                        socket.send(response(request, "done")).let { true }
                    }
                serving(server) { fixture ->
                    val idle = fixture.connect()
                    fixture.connect().use {
                        it.ask("/safe/x")
                        server.awaitRequests(1)
                        fixture.gateway.stop("TERM") {}
                        val answer = it.answer()!!
                        answer.body shouldBe "done"
                        answer.head.lowercase() shouldContain "connection: close"
                    }
                    idle.untilEnd() shouldBe ""
                    fixture.gateway.state.isReady shouldBe false
                }
            }
        }

        describe("the metrics") {
            it("count an answered request and measure its waiting and its first byte, whatever its kind") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/safe/x")
                        it.answer()
                    }
                    val text = fixture.metrics()
                    text shouldContain "kumquattrail_forward_requests_total{kind=\"SAFE\",outcome=\"answered_200\"} 1.0"
                    text shouldContain "kumquattrail_forward_waiting_seconds_count{kind=\"SAFE\"} 1"
                    text shouldContain "kumquattrail_forward_first_byte_seconds_count{kind=\"SAFE\"} 1"
                }
            }
        }

        describe("the log") {
            it("has one line for each decision on a request, with its id and what decided it") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/safe/x")
                        it.answer()
                        it.ask("/none/x")
                        it.answer()
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
