package io.kumquattrail.decision.route

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val GATEWAYS = 5
private val LONGEST = 1_500.milliseconds

/** Returns the longest time between two confirmations by any gateway in the [span] after a change at 0. */
private fun longestConfirmationGap(
    span: Duration,
    random: Random,
): Duration {
    val ends =
        List(GATEWAYS) { WatchPacing(LONGEST, Random(random.nextInt())) }.flatMap { pacing ->
            pacing.ended(withChange = true)
            generateSequence(pacing.next().also { pacing.ended(withChange = false) }) { it + pacing.next() }
                .takeWhile { it < span }
                .toList()
        }
    return (listOf(Duration.ZERO) + ends.sorted() + span).zipWithNext { before, next -> next - before }.max()
}

class WatchPacingSpec :
    DescribeSpec({
        describe("gateways whose watches a change has ended at the same time") {
            // Guards against keys that are refused a second too early after the configuration service has stopped
            // responding, because all gateways last confirmed the configuration at the same time.
            it("five gateways together confirm the configuration at least once per second in nine of ten cases") {
                val random = Random(21)
                val gaps = List(200) { longestConfirmationGap(6.seconds, random) }
                gaps.count { it <= 1.seconds } shouldBeGreaterThanOrEqual 180
            }
        }

        describe("a watch") {
            it("a watch waits the full time without changes, as each call of the configuration service has a cost") {
                val pacing = WatchPacing(LONGEST, Random(22))
                pacing.ended(withChange = false)
                pacing.next() shouldBe LONGEST
            }

            it("a watch after a change never waits longer than the full time") {
                val pacing = WatchPacing(LONGEST, Random(23))
                repeat(100) {
                    pacing.ended(withChange = true)
                    pacing.next() shouldBeLessThanOrEqualTo LONGEST
                }
            }
        }
    })
