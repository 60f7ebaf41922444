package io.kumquattrail.decision.suspect

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private fun crash(
    agent: Long,
    vararg fingerprints: String,
    isolated: Boolean = false,
) = Crash(Incarnation(0, agent), fingerprints.toSet(), isolated)

class SuspectTrackerSpec :
    DescribeSpec({
        val start = MonotonicTime.ZERO

        describe("a request in flight at a crash") {
            it("runs a request in flight at a crash in isolation, and blocks it only after a crash in that run") {
                val tracker = SuspectTracker()
                tracker.recordCrash(crash(1, "killer", "innocent"), start)
                tracker.executionPolicy("innocent", start) shouldBe ExecutionPolicy.Isolated
                tracker.recordCrash(crash(2, "killer", isolated = true), start)
                tracker.executionPolicy("killer", start) shouldBe ExecutionPolicy.Blocked(10.minutes)
                tracker.executionPolicy("innocent", start) shouldBe ExecutionPolicy.Isolated
            }

            it("clears a request that completes, and ignores older reports of other processes") {
                val tracker = SuspectTracker()
                tracker.recordCrash(crash(1, "killer", "innocent"), start)
                tracker.recordCompletion("innocent", start + 1.seconds)
                val report = SuspectReport("innocent", crashes = 1, blocked = false, age = 2.seconds)
                tracker.merge(listOf(report), start + 2.seconds)
                tracker.executionPolicy("innocent", start + 2.seconds) shouldBe ExecutionPolicy.Normal
                tracker.merge(listOf(report.copy(age = 0.seconds)), start + 2.seconds)
                tracker.executionPolicy("innocent", start + 2.seconds) shouldBe ExecutionPolicy.Isolated
            }

            it("counts a crash once, however many interrupted attempts report it") {
                val tracker = SuspectTracker()
                repeat(3) { tracker.recordCrash(crash(1, "killer", "innocent"), start) }
                tracker.reports(start, limit = 9).map { it.crashes } shouldBe listOf(1, 1)
            }

            it("blocks a fatal request for 10 minutes, then runs it in isolation, and drops it after an hour") {
                val tracker = SuspectTracker()
                tracker.recordCrash(crash(1, "killer", isolated = true), start)
                tracker.executionPolicy("killer", start + 9.minutes) shouldBe ExecutionPolicy.Blocked(1.minutes)
                tracker.executionPolicy("killer", start + 10.minutes) shouldBe ExecutionPolicy.Isolated
                tracker.executionPolicy("killer", start + 60.minutes) shouldBe ExecutionPolicy.Normal
            }
        }

        describe("reports of other processes") {
            it("blocks a request in a process that detected no crash, for the remaining time only") {
                val observer = SuspectTracker()
                observer.recordCrash(crash(1, "killer", isolated = true), start)
                val other = SuspectTracker()
                other.merge(observer.reports(start + 4.minutes, limit = 1), start)
                other.executionPolicy("killer", start) shouldBe ExecutionPolicy.Blocked(6.minutes)
            }
        }

        describe("a full tracker") {
            it("keeps a full tracker within its bound and evicts blocked requests last") {
                val tracker = SuspectTracker(SuspectLimits(maximumSuspects = 3))
                tracker.recordCrash(crash(1, "killer", isolated = true), start)
                (1..9).forEach { tracker.recordCrash(crash(1, "innocent-$it"), start) }
                tracker.reports(start, limit = 9) shouldHaveSize 3
                tracker.executionPolicy("killer", start).shouldBeInstanceOf<ExecutionPolicy.Blocked>()
            }
        }

        describe("a fleet of 16 servers that receives a fatal request every second") {
            it("loses at most two servers and blocks no harmless request, and loses over 10 servers without trackers") {
                val results = (1L..40L).map { CrashSimulation(seed = it, tracked = true).run() }
                results.maxOf { it.serversLost } shouldBeLessThanOrEqual 2
                results.sumOf { it.harmlessBlocked } shouldBe 0
                results.minOf { it.completed } shouldBeGreaterThan 500
                CrashSimulation(seed = 1, tracked = false).run().serversLost shouldBeGreaterThan 10
            }
        }
    })
