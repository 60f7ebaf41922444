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
private fun oldestConfirmation(
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
        describe("gateways whose watches a change has ended in one moment") {
            // The store fell silent, and keys that all gateways had confirmed together were refused a second too early.
            it("confirm the configuration at least once a second between them, in nine of ten cases") {
                val random = Random(21)
                val gaps = List(200) { oldestConfirmation(6.seconds, random) }
                gaps.count { it <= 1.seconds } shouldBeGreaterThanOrEqual 180
            }
        }

        describe("a watch") {
            it("waits the full time while nothing changes, as each call of the store has a price") {
                val pacing = WatchPacing(LONGEST, Random(22))
                pacing.ended(withChange = false)
                pacing.next() shouldBe LONGEST
            }

            it("never waits longer after a change") {
                val pacing = WatchPacing(LONGEST, Random(23))
                repeat(100) {
                    pacing.ended(withChange = true)
                    pacing.next() shouldBeLessThanOrEqualTo LONGEST
                }
            }
        }
    })
