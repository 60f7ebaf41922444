package io.kumquattrail.decision.suspect

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime.ZERO
private val FATAL = RequestFingerprint("fatal")
private val HARMLESS = RequestFingerprint("letter")

private fun serverCrash(number: Int) = ServerCrash(ServerName("s$number"))

private fun CrashLedger<RequestFingerprint>.recordCrashes(
    vararg crashes: Int,
    fingerprint: RequestFingerprint = FATAL,
    timeSinceSent: Duration = 20.milliseconds,
) = crashes.forEach { recordCrash(serverCrash(it), fingerprint, timeSinceSent, START) }

/** Returns a ledger in which a second request, sent before the fatal one, was in progress at each of its crashes. */
private fun tiedLedger() =
    CrashLedger<RequestFingerprint>().also {
        it.recordCrashes(1, 2, 3)
        it.recordCrashes(1, 2, 3, fingerprint = HARMLESS, timeSinceSent = 300.milliseconds)
    }

class CrashLedgerSpec :
    DescribeSpec({
        describe("a request in progress at crashes of servers") {
            it("refuses a request in progress at three crashes after the settling time, and for an hour") {
                val ledger = CrashLedger<RequestFingerprint>()
                ledger.recordCrashes(1, 2)
                ledger.classify(FATAL, START) shouldBe Suspicion.Suspect(crashes = 2)
                ledger.recordCrashes(3)
                ledger.classify(FATAL, START) shouldBe Suspicion.Deferred(crashes = 3, remaining = 300.milliseconds)
                ledger.classify(FATAL, START + 1.minutes) shouldBe Suspicion.Fatal(crashes = 3, remaining = 59.minutes)
                ledger.classify(FATAL, START + 1.hours) shouldBe Suspicion.None
            }

            // Both a retry and the same request of a second caller can be in progress at one crash.
            it("counts each crash of a server once, and a crash of its next incarnation separately") {
                val ledger = CrashLedger<RequestFingerprint>()
                repeat(3) { ledger.recordCrashes(1) }
                ledger.classify(FATAL, START) shouldBe Suspicion.Suspect(crashes = 1)
                ledger.recordCrash(ServerCrash(ServerName("s1"), incarnation = 5), FATAL, 20.milliseconds, START)
                ledger.classify(FATAL, START) shouldBe Suspicion.Suspect(crashes = 2)
            }
        }

        describe("a harmless request in progress at crashes by chance") {
            it("clears a request that completes, and counts only later crashes against it") {
                val ledger = CrashLedger<RequestFingerprint>()
                ledger.recordCrashes(1, 2)
                ledger.recordCompletion(FATAL, START) shouldBe setOf(serverCrash(1), serverCrash(2))
                ledger.recordCrashes(1, 2, 3)
                ledger.classify(FATAL, START) shouldBe Suspicion.Suspect(crashes = 1)
            }

            it("defers the fatal request until a harmless one that it interrupted at every crash has completed") {
                val ledger = tiedLedger()
                val now = START + 1.seconds
                ledger.classify(HARMLESS, now) shouldBe Suspicion.Suspect(crashes = 3)
                ledger.classify(FATAL, now) shouldBe Suspicion.Deferred(crashes = 3, remaining = 2.seconds)
                ledger.recordCompletion(HARMLESS, now)
                ledger.classify(FATAL, now) shouldBe Suspicion.Fatal(crashes = 3, remaining = 1.hours - 1.seconds)
            }

            it("defers the fatal request for at most three seconds when the harmless one is not sent again") {
                val ledger = tiedLedger()
                val now = START + 3.seconds
                ledger.classify(FATAL, now) shouldBe Suspicion.Suspect(crashes = 3)
                ledger.recordCrashes(4)
                ledger.classify(FATAL, now) shouldBe Suspicion.Fatal(crashes = 4, remaining = 1.hours - 3.seconds)
            }

            it("does not refuse a harmless request when two fatal requests together account for its crashes") {
                val ledger = CrashLedger<RequestFingerprint>()
                val other = RequestFingerprint("other")
                ledger.recordCrashes(1, 2, 5)
                ledger.recordCrashes(3, 6, 7, fingerprint = other)
                ledger.recordCrashes(1, 2, 3, fingerprint = HARMLESS)
                val now = START + 1.minutes
                ledger.classify(HARMLESS, now) shouldBe Suspicion.Suspect(crashes = 3)
                ledger.classify(FATAL, now) shouldBe Suspicion.Fatal(crashes = 3, remaining = 59.minutes)
                ledger.classify(other, now) shouldBe Suspicion.Fatal(crashes = 3, remaining = 59.minutes)
            }
        }

        describe("reports between processes") {
            fun CrashLedger<RequestFingerprint>.reportTo(other: CrashLedger<RequestFingerprint>) =
                other.merge(reports(START, limit = 32), START)

            it("merges crashes that single processes detected, whatever the order and number of messages") {
                val ledgers = List(3) { CrashLedger<RequestFingerprint>() }
                ledgers.forEachIndexed { index, ledger -> ledger.recordCrashes(index) }
                repeat(2) { ledgers.forEach { from -> ledgers.forEach { from.reportTo(it) } } }
                ledgers.forEach {
                    it.classify(FATAL, START + 1.minutes) shouldBe Suspicion.Fatal(crashes = 3, remaining = 59.minutes)
                }
            }

            it("informs a process that starts later of a fatal request") {
                val ledger = CrashLedger<RequestFingerprint>()
                ledger.recordCrashes(1, 2, 3)
                val later = CrashLedger<RequestFingerprint>()
                later.merge(ledger.reports(START + 40.minutes, limit = 32), START)
                later.classify(FATAL, START) shouldBe Suspicion.Fatal(crashes = 3, remaining = 20.minutes)
            }

            it("clears a request in every process, and ignores an older report that arrives afterwards") {
                val ledger = CrashLedger<RequestFingerprint>()
                ledger.recordCrashes(1, 2, 3)
                val other = CrashLedger<RequestFingerprint>()
                ledger.reportTo(other)
                val older = ledger.reports(START, limit = 32)
                ledger.recordCompletion(FATAL, START)
                ledger.reportTo(other)
                other.merge(older, START)
                other.classify(FATAL, START) shouldBe Suspicion.None
            }

            it("reports requests with the most crashes first, and those with a single crash for 30 seconds only") {
                val ledger = CrashLedger<RequestFingerprint>()
                ledger.recordCrashes(1, fingerprint = HARMLESS)
                ledger.recordCrashes(1, 2)
                ledger.reports(START, limit = 1).map { it.suspect } shouldContainExactly listOf(FATAL)
                ledger.reports(START + 31.seconds, limit = 9).map { it.suspect } shouldContainExactly listOf(FATAL)
                ledger.reports(START + 1.hours, limit = 9).shouldBeEmpty()
            }
        }

        describe("a ledger without suspects") {
            // Requests are classified, and their prompt headers read, only while there is a suspect.
            it("has suspects only until they are cleared or expire") {
                val ledger = CrashLedger<RequestFingerprint>()
                ledger.hasSuspects shouldBe false
                ledger.recordCrashes(1)
                ledger.hasSuspects shouldBe true
                ledger.recordCompletion(FATAL, START)
                ledger.hasSuspects shouldBe false
                ledger.recordCrashes(2)
                ledger.reports(START + 1.hours, limit = 1)
                ledger.hasSuspects shouldBe false
            }
        }

        describe("a full ledger") {
            it("keeps a full ledger within its bounds and evicts harmless requests first") {
                val ledger =
                    CrashLedger<RequestFingerprint>(CrashLedgerLimits(maximumSuspects = 10, maximumCrashes = 4))
                ledger.recordCrashes(*IntArray(9) { it })
                repeat(50) { ledger.recordCrashes(1, fingerprint = RequestFingerprint("letter-$it")) }
                val reports = ledger.reports(START, limit = 99)
                reports shouldHaveSize 10
                reports.first().crashes.keys shouldBe
                    setOf(serverCrash(5), serverCrash(6), serverCrash(7), serverCrash(8))
                ledger.classify(FATAL, START + 1.minutes) shouldBe Suspicion.Fatal(crashes = 4, remaining = 59.minutes)
            }
        }

        describe("a service of three servers that receives a fatal request twice per second among slow requests") {
            it("loses at most two servers beyond the threshold and refuses no harmless request, over 50 seeds") {
                val results = (1L..50L).map { FatalRequestSimulation(seed = it).run() }
                results.maxOf { it.serversLost } shouldBeLessThanOrEqual 5
                results.sumOf { it.othersRefused } shouldBe 0
                results.minOf { it.completed } shouldBeGreaterThan 200
            }
        }
    })
