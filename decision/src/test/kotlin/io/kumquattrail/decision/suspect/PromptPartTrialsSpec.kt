package io.kumquattrail.decision.suspect

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime.ZERO
private val SHARED = checkNotNull(PromptPart.of("5a"))
private val FATAL = checkNotNull(PromptPart.of("dead"))
private val OTHER = checkNotNull(PromptPart.of("07e4"))

private fun CrashLedger<PromptPart>.recordCrash(
    number: Int,
    part: PromptPart,
) = recordCrash(ServerCrash(ServerName("s$number")), part, 200.milliseconds, START)

class PromptPartTrialsSpec :
    DescribeSpec({
        describe("a part on which no answer had begun when a server crashed") {
            it("runs one request with the part at a time, and all others once the answer to it has begun") {
                val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
                val trials = PromptPartTrials<String>(ledger)
                ledger.recordCrash(1, OTHER)
                trials.decide("first", listOf(SHARED, OTHER), START) shouldBe PromptPartDecision.Try(OTHER)
                trials.decide("first", listOf(SHARED, OTHER), START) shouldBe PromptPartDecision.Try(OTHER)
                trials.decide("second", listOf(OTHER), START) shouldBe PromptPartDecision.Wait
                trials.decide("third", listOf(SHARED), START) shouldBe PromptPartDecision.Run
                ledger.recordCompletion(OTHER, START)
                trials.decide("second", listOf(OTHER), START) shouldBe PromptPartDecision.Run
            }

            it("tries the next request when a trial ends without an answer or a crash") {
                val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
                val trials = PromptPartTrials<String>(ledger)
                ledger.recordCrash(1, OTHER)
                trials.decide("first", listOf(OTHER), START)
                trials.end("first")
                trials.decide("second", listOf(OTHER), START) shouldBe PromptPartDecision.Try(OTHER)
            }
        }

        describe("a part on which no answer had begun at two crashes") {
            // A part that was in progress twice by chance must not be refused for an hour.
            it("is refused, tried once more after 30 seconds, and after the third crash refused for an hour") {
                val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
                val trials = PromptPartTrials<String>(ledger)
                ledger.recordCrash(1, FATAL)
                ledger.recordCrash(2, FATAL)
                val settled = START + 1.seconds
                trials.decide("a", listOf(SHARED, FATAL), settled) shouldBe
                    PromptPartDecision.Refuse(crashes = 2, remaining = 29.seconds, isFatal = true)
                trials.shouldWithdraw(listOf(SHARED, FATAL), settled) shouldBe true
                trials.shouldWithdraw(listOf(SHARED), settled) shouldBe false
                trials.decide("b", listOf(FATAL), START + 30.seconds) shouldBe PromptPartDecision.Try(FATAL)
                trials.decide("c", listOf(FATAL), START + 30.seconds) shouldBe PromptPartDecision.Wait
                ledger.recordCrash(3, FATAL)
                trials.decide("c", listOf(FATAL), settled) shouldBe
                    PromptPartDecision.Refuse(crashes = 3, remaining = 1.hours - 1.seconds, isFatal = true)
            }

            // Otherwise, two parts that always occur together would exonerate each other without end.
            it("refuses requests with both of two parts that only occurred together, and tries one with either") {
                val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
                val trials = PromptPartTrials<String>(ledger)
                listOf(FATAL, OTHER).forEach { part -> (1..2).forEach { ledger.recordCrash(it, part) } }
                val settled = START + 1.seconds
                trials.decide("both", listOf(FATAL, OTHER), settled).shouldBeInstanceOf<PromptPartDecision.Refuse>()
                trials.decide("one", listOf(OTHER), settled) shouldBe PromptPartDecision.Try(OTHER)
                ledger.recordCompletion(OTHER, settled)
                trials.decide("another", listOf(OTHER), settled) shouldBe PromptPartDecision.Run
                trials.decide("both", listOf(FATAL, OTHER), settled).shouldBeInstanceOf<PromptPartDecision.Refuse>()
            }
        }

        describe("requests with a large number of parts") {
            // Otherwise, one request could displace every suspect, or hide the fatal part behind others.
            it("records a limited number of parts, and still finds the fatal one among many that never recur") {
                val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
                val trials = PromptPartTrials<String>(ledger)
                val crashes =
                    (1..50).takeWhile { crash ->
                        val others =
                            List(500) { checkNotNull(PromptPart.of("${crash.toString(16)}a${it.toString(16)}")) }
                        val parts = others + FATAL
                        val recorded = trials.candidates(parts, setOf(SHARED), ServerCrash(ServerName("s$crash")))
                        recorded.size shouldBeLessThanOrEqual 64
                        recorded.forEach { ledger.recordCrash(crash, it) }
                        trials.decide("request", parts, START + 1.seconds) !is PromptPartDecision.Refuse
                    }
                crashes.size shouldBeLessThanOrEqual 25
            }

            it("does not record parts that occur in other answers") {
                val trials = PromptPartTrials<String>(CrashLedger(PROMPT_PART_LIMITS))
                trials.candidates(listOf(SHARED, FATAL), setOf(SHARED), ServerCrash(ServerName("s1"))) shouldBe
                    listOf(FATAL)
            }
        }

        describe("two fatal parts whose requests share a harmless one") {
            // Otherwise the first crash of each counts twice against the shared part, and all requests with it are
            // refused, or withdrawn from their servers just before they would clear it.
            it("refuses the requests with a fatal part, and tries the shared part instead of refusing it") {
                val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
                val trials = PromptPartTrials<String>(ledger)
                listOf(SHARED, FATAL).forEach { ledger.recordCrash(1, it) }
                listOf(SHARED, OTHER).forEach { ledger.recordCrash(2, it) }
                listOf(START, START + 1.seconds).forEach { now ->
                    trials.shouldWithdraw(listOf(SHARED), now) shouldBe false
                    trials.decide("ordinary", listOf(SHARED), now) shouldBe PromptPartDecision.Try(SHARED)
                    trials.decide("first", listOf(SHARED, FATAL), now).shouldBeInstanceOf<PromptPartDecision.Refuse>()
                    trials.decide("second", listOf(SHARED, OTHER), now).shouldBeInstanceOf<PromptPartDecision.Refuse>()
                }
            }
        }

        describe("a fatal part beside parts that occur in one request only") {
            it("is refused after three crashes, although another suspect shares each of them") {
                val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
                val trials = PromptPartTrials<String>(ledger)
                val later = START + 1.seconds
                (1..3).forEach { crash ->
                    val own = checkNotNull(PromptPart.of("0$crash"))
                    trials.decide("request-$crash", listOf(own, FATAL), later) shouldBe
                        if (crash == 1) PromptPartDecision.Run else PromptPartDecision.Try(FATAL)
                    trials.end("request-$crash")
                    listOf(own, FATAL).forEach { ledger.recordCrash(crash, it) }
                }
                trials.decide("request", listOf(FATAL), later).shouldBeInstanceOf<PromptPartDecision.Refuse>()
            }
        }

        describe("ids of parts") {
            it("are read regardless of case and spaces, and bounded in size") {
                PromptPart.of(" 5C1E ") shouldBe PromptPart.of("5c1e")
                PromptPart.of("  ") shouldBe null
                val long = checkNotNull(PromptPart.of("a".repeat(5_000)))
                long.value.length shouldBeLessThanOrEqual 32
                (long == PromptPart.of("a".repeat(4_999))) shouldBe false
            }
        }

        describe("gateways that restart and lose contact while other servers crash for other reasons, over 50 seeds") {
            it("loses at most three servers to each of two fatal parts, and serves harmless parts again") {
                val results = (1L..50L).map { PromptPartSimulation(seed = it).run() }
                results.maxOf { it.crashesByPart.values.max() } shouldBeLessThanOrEqual 3
                results.minOf { it.crashesByPart.values.min() } shouldBeGreaterThan 0
                results.minOf { it.completed } shouldBeGreaterThan 1_000
                results.maxOf { it.longestWrongRefusal } shouldBeLessThanOrEqualTo 5.seconds
            }

            // Gateways without contact cannot add up their crashes, so the bound holds for each side.
            it("loses at most three servers per side while the gateways are divided into two") {
                val results = (1L..50L).map { PromptPartSimulation(seed = it, isDivided = true).run() }
                results.maxOf { it.crashesByPart.values.max() } shouldBeLessThanOrEqual 6
            }
        }
    })
