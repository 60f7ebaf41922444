package io.kumquattrail.forward.process

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlin.time.Duration.Companion.seconds

class FatalRequestSpec :
    DescribeSpec({
        describe("a request that crashes each server that starts to execute it, sent twice a second") {
            mapOf(1 to "without groups", 4 to "in two lockstep groups").forEach { (groupSize, arrangement) ->
                // Otherwise, every copy is forwarded although earlier copies have crashed servers, and other callers
                // lose the service.
                it(
                    "a fatal request stops reaching servers $arrangement once three crashes are reported everywhere",
                ) {
                    FatalRequestFleet(groupSize = groupSize).use { fleet ->
                        repeat(12) { fleet.startCaller("caller-$it", body = "letter-$it") }
                        Thread.sleep(500)
                        fleet.sendFatal()
                        println("fatal request, servers $arrangement: ${fleet.summary()}")
                        withClue(fleet.summary()) {
                            fleet.servers.crashes.size shouldBeGreaterThan 2
                            fleet.lateCopies().size shouldBeLessThanOrEqual MAXIMUM_LATE_COPIES
                            fleet.lateFailures().shouldBeEmpty()
                            fleet.wronglyRefused().shouldBeEmpty()
                        }
                    }
                }
            }

            // All servers of a small service crash within a second, so slow requests are interrupted repeatedly.
            it("slow requests in progress beside a fatal request are not refused when they are sent again") {
                FatalRequestFleet(serverCount = 3).use { fleet ->
                    repeat(8) { fleet.startCaller("caller-$it", body = "$SLOW_BODY-$it") }
                    Thread.sleep(500)
                    fleet.sendFatal()
                    println("fatal request, slow requests: ${fleet.summary()}")
                    withClue(fleet.summary()) {
                        fleet.lateCopies().size shouldBeLessThanOrEqual MAXIMUM_LATE_COPIES
                        fleet.wronglyRefused().shouldBeEmpty()
                        fleet.lateFailures().shouldBeEmpty()
                    }
                }
            }

            it("a gateway that starts later refuses a fatal request that the other gateways have recorded") {
                FatalRequestFleet().use { fleet ->
                    fleet.sendFatal(time = 3.seconds)
                    val arrivals = fleet.servers.fatalArrivals.size
                    val added = fleet.addGateway()
                    eventually(2.seconds) { added.gateway.state.hasStarted shouldBe true }
                    fleet.send(added, FATAL_BODY, "fatal-joined") shouldContain "503"
                    fleet.servers.fatalArrivals.size shouldBe arrivals
                }
            }
        }

        describe("a stream that is interrupted by crashes of its servers") {
            // Streams last for seconds, so crashes for other reasons can interrupt the same stream several times.
            it("a stream that ran for a while before each crash is not suspected, however often it is sent again") {
                FatalRequestFleet(gatewayCount = 1, serverCount = 6).use { fleet ->
                    repeat(4) { sending ->
                        fleet.send(
                            fleet.fixtures.first(),
                            "$CRASHING_STREAM_BODY-same",
                            "stream-$sending",
                            path = "/streaming/x",
                        )
                        // A run that the gateway gave up on still crashes its server, and must not do so during the
                        // first events of the next stream.
                        fleet.servers.awaitIdle()
                    }
                    fleet.servers.crashes.size shouldBeGreaterThan 3
                    fleet.fixtures.first().log().also {
                        it shouldContain "request_attempt"
                        it shouldNotContain "request_suspected"
                    }
                }
            }
        }

        describe("a server that resets connections but keeps running") {
            // Otherwise, a request that met three resets by chance would be refused for an hour.
            it("a server that resets connections but keeps running is not treated as crashed") {
                val resetting =
                    ScriptedServer { _, socket ->
                        socket.setSoLinger(true, 0)
                        false
                    }
                withGateway(resetting) { fixture ->
                    repeat(5) { sending ->
                        fixture.connect().use {
                            it.sendRequest("/unsafe/x", "POST", body = "same", requestId = "r-$sending")
                            it.readResponse()!!.head shouldContain "502"
                        }
                    }
                    resetting.received shouldHaveSize 5
                    fixture.log() shouldNotContain "\"listener\":\"GONE\""
                }
            }
        }
    })
