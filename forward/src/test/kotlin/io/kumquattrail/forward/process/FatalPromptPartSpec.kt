package io.kumquattrail.forward.process

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Maximum number of servers that one prompt part may crash, whichever gateways receive the requests with it. */
private const val MAXIMUM_CRASHES = 3

private fun FatalRequestFleet.startPromptCallers() =
    repeat(12) { startCaller("caller-$it", body = "letter-$it", promptParts = "$SHARED_PART:40,b$it:250") }

class FatalPromptPartSpec :
    DescribeSpec({
        describe("requests that share a prompt part which crashes each server that starts to execute it") {
            mapOf(1 to "without groups", 4 to "in two lockstep groups").forEach { (groupSize, arrangement) ->
                // No two of the requests are alike, so counting crashes per request forwards them without end.
                it("a fatal prompt part crashes at most three servers $arrangement, and others are served") {
                    FatalRequestFleet(groupSize = groupSize).use { fleet ->
                        fleet.startPromptCallers()
                        Thread.sleep(500)
                        fleet.sendWithFatalParts("$FATAL_PART-1")
                        println("fatal prompt part, servers $arrangement: ${fleet.summary()}")
                        withClue({ fleet.summary() + fleet.trace() }) {
                            fleet.servers.crashes.size shouldBeGreaterThan 0
                            fleet.servers.crashes.size shouldBeLessThanOrEqual MAXIMUM_CRASHES
                            fleet.failedFirstAttempts().shouldBeEmpty()
                            fleet.wronglyRefused().shouldBeEmpty()
                        }
                    }
                }
            }

            // Several requests with the part wait at other servers when the first one crashes.
            it(
                "requests that already wait for an answer are withdrawn, so that the part crashes three servers at most",
            ) {
                FatalRequestFleet(crashDelay = 300.milliseconds).use { fleet ->
                    fleet.startPromptCallers()
                    Thread.sleep(500)
                    fleet.sendWithFatalParts("$FATAL_PART-1", time = 4.seconds)
                    println("fatal prompt part, requests waiting: ${fleet.summary()}")
                    withClue({ fleet.summary() + fleet.trace() }) {
                        fleet.servers.crashes.size shouldBeGreaterThan 0
                        fleet.servers.crashes.size shouldBeLessThanOrEqual MAXIMUM_CRASHES
                        fleet.failedFirstAttempts().shouldBeEmpty()
                        fleet.wronglyRefused().shouldBeEmpty()
                    }
                }
            }

            it("two fatal prompt parts at the same time crash at most three servers each") {
                FatalRequestFleet().use { fleet ->
                    fleet.startPromptCallers()
                    Thread.sleep(500)
                    fleet.sendWithFatalParts("$FATAL_PART-1", "$FATAL_PART-2")
                    withClue({ fleet.summary() + fleet.trace() }) {
                        fleet.servers.crashes
                            .groupingBy { it.cause }
                            .eachCount()
                            .values
                            .forEach { it shouldBeLessThanOrEqual MAXIMUM_CRASHES }
                        fleet.failedFirstAttempts().shouldBeEmpty()
                        fleet.wronglyRefused().shouldBeEmpty()
                    }
                }
            }

            it("a gateway that starts later refuses the part without a crash, as it asks the others first") {
                FatalRequestFleet().use { fleet ->
                    fleet.sendWithFatalParts("$FATAL_PART-1", time = 3.seconds)
                    // The servers have restarted by then, and could crash again.
                    Thread.sleep(2_500)
                    val arrivals = fleet.servers.fatalArrivals.size
                    val added = fleet.addGateway()
                    eventually(2.seconds) { added.gateway.state.hasStarted shouldBe true }
                    fleet.sendWithPart(added, "$FATAL_PART-1", "fatal-joined") shouldContain "503"
                    fleet.servers.fatalArrivals.size shouldBe arrivals
                    added.log() shouldContain "part_crashes_servers"
                }
            }
        }

        describe("a harmless prompt part whose request was in progress when a server crashed") {
            // Suspicion must cost its callers no more than a moment.
            it("requests with the part are served at once on the next attempt") {
                FatalRequestFleet().use { fleet ->
                    val interrupted =
                        thread {
                            fleet.sendWithPart(
                                fleet.fixtures.first(),
                                "ca1f",
                                "first",
                                body = "$SLOW_BODY-first",
                            )
                        }
                    Thread.sleep(300)
                    fleet.servers.crashServersRunning("$SLOW_BODY-first")
                    Thread.sleep(100)
                    val statuses = CopyOnWriteArrayList<String>()
                    measureTime {
                        List(6) { number ->
                            thread {
                                val fixture = fleet.fixtures[number % fleet.fixtures.size]
                                statuses += fleet.sendWithPart(fixture, "ca1f", "again-$number")
                            }
                        }.forEach { it.join() }
                    } shouldBeLessThan 1_500.milliseconds
                    statuses shouldContainOnly listOf("HTTP/1.1 200 OK")
                    statuses shouldHaveSize 6
                    interrupted.join()
                }
            }
        }
    })
