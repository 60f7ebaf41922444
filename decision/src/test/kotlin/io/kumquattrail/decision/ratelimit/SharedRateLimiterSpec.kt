package io.kumquattrail.decision.ratelimit

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val START = 5.seconds
private val END = 40.seconds

class SharedRateLimiterSpec :
    DescribeSpec({
        // Each gateway receives a part of the answers and none sees what the others send.
        describe("gateways that all want to send to a server with a limit") {
            listOf(1, 4, 5, 12, 40).forEach { gateways ->
                listOf(0.0, 0.4, 1.0, 1.8, 5.0, 20.0).forEach { limit ->
                    it("$gateways together stay within $limit requests per second") {
                        (1..5).forEach { seed ->
                            val fleet = RateLimitedFleet(gateways, seed) { if (it >= START) limit else null }
                            fleet.run(END)
                            withClue("seed $seed") {
                                fleet.largestExcess(limit, START, END) shouldBeLessThanOrEqualTo 0.0
                            }
                        }
                    }
                }
            }

            it("stay within it while some of them are down or come back") {
                (1..40).forEach { seed ->
                    val fleet =
                        RateLimitedFleet(
                            gateways = 12,
                            seed = seed,
                            // A third of the gateways is down for ten seconds, one third after the other.
                            isRunning = { index, time ->
                                val outage = (time.inWholeSeconds / 10).toInt()
                                outage == 0 || index % 3 != outage % 3
                            },
                        ) { if (it >= START) 1.5 else null }
                    fleet.run(END)
                    withClue("seed $seed") { fleet.largestExcess(1.5, START, END) shouldBeLessThanOrEqualTo 0.0 }
                }
            }

            // A server that is spared needlessly leaves its callers to servers that may be full.
            it("use most of it") {
                listOf(1.0, 1.8, 5.0).forEach { limit ->
                    val fleet = RateLimitedFleet(gateways = 5, seed = 1) { if (it >= START) limit else null }
                    fleet.run(END)
                    val used = fleet.arrivals.count { it > START + 5.seconds } / ((END - START - 5.seconds) / 1.seconds)
                    withClue("limit $limit") { used shouldBeGreaterThanOrEqualTo 0.7 * limit }
                }
            }

            // A gateway that is no sender gets no answers, so it learns of the end from its peers only.
            it("use the whole server again soon after its limit has ended") {
                val fleet =
                    RateLimitedFleet(gateways = 12, seed = 3) { if (it in START..20.seconds) 1.0 else null }
                fleet.run(30.seconds)
                fleet.arrivals.count { it in 15.seconds..20.seconds } shouldBeLessThan 12
                fleet.arrivals.count { it in 25.seconds..30.seconds } shouldBeGreaterThan 120
            }
        }

        describe("one gateway") {
            val server = ServerName("s1")
            val now = MonotonicTime.ZERO + 60.seconds

            fun sends(
                limiter: SharedRateLimiter,
                limit: Double,
                length: Duration,
            ): Int {
                var count = 0
                var time = Duration.ZERO
                while (time < length) {
                    if (limiter.mayStart(server, limit, now + time)) {
                        limiter.recordSend(server)
                        count += 1
                    }
                    time += 0.1.seconds
                }
                return count
            }

            it("that hears of no other divides by all that its settings name") {
                val limiter = SharedRateLimiter(ProcessName("a"), minimumProcesses = 4)
                limiter.updateMembers(emptyList(), now)
                sends(limiter, limit = 4.0, length = 10.seconds) shouldBeLessThan 14
            }

            it("that is cut off keeps to its part of the gateways that it has known") {
                val limiter = SharedRateLimiter(ProcessName("a"))
                limiter.updateMembers(List(9) { ProcessName("p$it") }, now)
                limiter.updateMembers(emptyList(), now + 20.seconds)
                sends(limiter, limit = 10.0, length = 10.seconds) shouldBeLessThan 14
            }

            it("that runs alone uses the whole rate") {
                val limiter = SharedRateLimiter(ProcessName("a"))
                sends(limiter, limit = 4.0, length = 10.seconds) shouldBeGreaterThan 36
            }
        }
    })
