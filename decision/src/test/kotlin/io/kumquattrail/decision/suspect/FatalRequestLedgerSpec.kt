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
private val LETTER = RequestFingerprint("letter")

private fun end(number: Int) = ServerEnd(ServerName("s$number"))

private fun FatalRequestLedger.charge(
    vararg ends: Int,
    fingerprint: RequestFingerprint = FATAL,
    sentBefore: Duration = 20.milliseconds,
) = ends.forEach { inProgressAt(end(it), fingerprint, sentBefore, START) }

/** A ledger in which another request was in progress at each end under the fatal one, sent before it. */
private fun cutTogether() =
    FatalRequestLedger().also {
        it.charge(1, 2, 3)
        it.charge(1, 2, 3, fingerprint = LETTER, sentBefore = 300.milliseconds)
    }

class FatalRequestLedgerSpec :
    DescribeSpec({
        describe("a request in progress at the ends of servers") {
            it("is fatal after the third once others can have told of it, and refused for an hour after the last") {
                val ledger = FatalRequestLedger()
                ledger.charge(1, 2)
                ledger.judge(FATAL, START) shouldBe Suspicion.Suspect(ends = 2)
                ledger.charge(3)
                ledger.judge(FATAL, START) shouldBe Suspicion.Deferred(ends = 3, remaining = 300.milliseconds)
                ledger.judge(FATAL, START + 1.minutes) shouldBe Suspicion.Fatal(ends = 3, remaining = 59.minutes)
                ledger.judge(FATAL, START + 1.hours) shouldBe Suspicion.None
            }

            // A caller's second try, or two callers with the same request, meet the same end.
            it("is charged once for each end, and again for the next start of a server under its old name") {
                val ledger = FatalRequestLedger()
                repeat(3) { ledger.charge(1) }
                ledger.judge(FATAL, START) shouldBe Suspicion.Suspect(ends = 1)
                ledger.inProgressAt(ServerEnd(ServerName("s1"), incarnation = 5), FATAL, 20.milliseconds, START)
                ledger.judge(FATAL, START) shouldBe Suspicion.Suspect(ends = 2)
            }
        }

        describe("a request that was in progress by chance") {
            it("is cleared by completing, and charged anew for later ends only") {
                val ledger = FatalRequestLedger()
                ledger.charge(1, 2)
                ledger.completed(FATAL, START) shouldBe setOf(end(1), end(2))
                ledger.charge(1, 2, 3)
                ledger.judge(FATAL, START) shouldBe Suspicion.Suspect(ends = 1)
            }

            it("is not refused when it was cut beside a fatal one each time, which waits until it has completed") {
                val ledger = cutTogether()
                val now = START + 1.seconds
                ledger.judge(LETTER, now) shouldBe Suspicion.Suspect(ends = 3)
                ledger.judge(FATAL, now) shouldBe Suspicion.Deferred(ends = 3, remaining = 2.seconds)
                ledger.completed(LETTER, now)
                ledger.judge(FATAL, now) shouldBe Suspicion.Fatal(ends = 3, remaining = 1.hours - 1.seconds)
            }

            it("keeps the fatal one waiting for some seconds only when its own caller has left") {
                val ledger = cutTogether()
                val now = START + 3.seconds
                ledger.judge(FATAL, now) shouldBe Suspicion.Suspect(ends = 3)
                ledger.charge(4)
                ledger.judge(FATAL, now) shouldBe Suspicion.Fatal(ends = 4, remaining = 1.hours - 3.seconds)
            }

            it("is not refused when two fatal requests account for its ends together") {
                val ledger = FatalRequestLedger()
                val other = RequestFingerprint("other")
                ledger.charge(1, 2, 5)
                ledger.charge(3, 6, 7, fingerprint = other)
                ledger.charge(1, 2, 3, fingerprint = LETTER)
                val now = START + 1.minutes
                ledger.judge(LETTER, now) shouldBe Suspicion.Suspect(ends = 3)
                ledger.judge(FATAL, now) shouldBe Suspicion.Fatal(ends = 3, remaining = 59.minutes)
                ledger.judge(other, now) shouldBe Suspicion.Fatal(ends = 3, remaining = 59.minutes)
            }
        }

        describe("what processes tell each other") {
            fun FatalRequestLedger.tell(other: FatalRequestLedger) = other.merge(reports(START, most = 32), START)

            it("adds up ends that each of them saw alone, whatever the order and number of messages") {
                val ledgers = List(3) { FatalRequestLedger() }
                ledgers.forEachIndexed { index, ledger -> ledger.charge(index) }
                repeat(2) { ledgers.forEach { from -> ledgers.forEach { from.tell(it) } } }
                ledgers.forEach {
                    it.judge(FATAL, START + 1.minutes) shouldBe Suspicion.Fatal(ends = 3, remaining = 59.minutes)
                }
            }

            it("reaches a process that starts later") {
                val ledger = FatalRequestLedger()
                ledger.charge(1, 2, 3)
                val later = FatalRequestLedger()
                later.merge(ledger.reports(START + 40.minutes, most = 32), START)
                later.judge(FATAL, START) shouldBe Suspicion.Fatal(ends = 3, remaining = 20.minutes)
            }

            it("clears a request everywhere, which an older report must not undo") {
                val ledger = FatalRequestLedger()
                ledger.charge(1, 2, 3)
                val other = FatalRequestLedger()
                ledger.tell(other)
                val older = ledger.reports(START, most = 32)
                ledger.completed(FATAL, START)
                ledger.tell(other)
                other.merge(older, START)
                other.judge(FATAL, START) shouldBe Suspicion.None
            }

            it("leaves out requests with a single end after a while, and tells of the most dangerous first") {
                val ledger = FatalRequestLedger()
                ledger.charge(1, fingerprint = LETTER)
                ledger.charge(1, 2)
                ledger.reports(START, most = 1).map { it.fingerprint } shouldContainExactly listOf(FATAL)
                ledger.reports(START + 31.seconds, most = 9).map { it.fingerprint } shouldContainExactly listOf(FATAL)
                ledger.reports(START + 1.hours, most = 9).shouldBeEmpty()
            }
        }

        describe("a full ledger") {
            it("stays within its bounds and keeps the fatal requests") {
                val ledger = FatalRequestLedger(FatalRequestLimits(maximumRequests = 10, maximumEnds = 4))
                ledger.charge(*IntArray(9) { it })
                repeat(50) { ledger.charge(1, fingerprint = RequestFingerprint("letter-$it")) }
                val reports = ledger.reports(START, most = 99)
                reports shouldHaveSize 10
                reports.first().ends.keys shouldBe setOf(end(5), end(6), end(7), end(8))
                ledger.judge(FATAL, START + 1.minutes) shouldBe Suspicion.Fatal(ends = 4, remaining = 59.minutes)
            }
        }

        describe("a service of three servers whose caller sends a fatal request twice a second, among slow requests") {
            it("loses at most two servers more than the platform bears, and refuses no other request, over 50 seeds") {
                val results = (1L..50L).map { FatalRequestSimulation(seed = it).run() }
                results.maxOf { it.serversLost } shouldBeLessThanOrEqual 5
                results.sumOf { it.othersRefused } shouldBe 0
                results.minOf { it.completed } shouldBeGreaterThan 200
            }
        }
    })
