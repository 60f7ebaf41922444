package io.kumquattrail.decision.expert.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val REPORT_LAG = 200.milliseconds
private val PREPARATION_TIME = 130.milliseconds

/** Number of refused holds in a map change, and number of passes by which the first hold was too far ahead. */
private class HoldOutcome(
    val refusals: Int,
    val passesAhead: Long,
)

private fun simulateChange(
    forecast: PassForecast,
    startedAt: Duration,
    passTime: Duration,
): HoldOutcome {
    val reported = ((startedAt - REPORT_LAG) / passTime).toLong()
    val reached = ((startedAt + PREPARATION_TIME) / passTime).toLong()
    val firstHold = forecast.estimatePass(reported, age = PREPARATION_TIME, passTime = passTime) + 1
    val refusals = (reached + 1 - firstHold).coerceAtLeast(0).toInt()
    forecast.recordAcceptedHold(refusals, passTime)
    return HoldOutcome(refusals = refusals, passesAhead = (firstHold - reached - 1).coerceAtLeast(0))
}

class PassForecastSpec :
    DescribeSpec({
        describe("holds of a group whose reports lag by several passes") {
            val random = Random(31)
            val forecast = PassForecast()
            val changes =
                List(60) { number ->
                    val startedAt = 10_000.milliseconds + 1_700.milliseconds * number
                    simulateChange(forecast, startedAt, passTime = random.nextInt(40, 90).milliseconds)
                }

            // Guards against holds of passes that have already begun. Without a forecast, the holds that try one pass
            // after another are a quarter of all orders.
            it("a pass forecast that has adapted to the report lag causes few refused holds") {
                changes.drop(10).sumOf { it.refusals } shouldBeLessThanOrEqual 50
            }

            it("a pass forecast places the first hold at most three passes too far ahead") {
                changes.maxOf { it.passesAhead } shouldBeLessThanOrEqual 3
            }
        }

        describe("holds that are refused repeatedly for a reason other than the report lag") {
            it("repeated refusals of holds raise a pass forecast by no more than the longest report lag") {
                val forecast = PassForecast(longestLag = 350.milliseconds)
                repeat(20) { forecast.recordAcceptedHold(refusals = 40, passTime = 60.milliseconds) }
                forecast.estimatePass(reported = 100, age = Duration.ZERO, passTime = 50.milliseconds) shouldBe 107
            }
        }

        describe("a forecast without a measured pass time") {
            it("a pass forecast without a measured pass time is the reported pass") {
                PassForecast().estimatePass(reported = 7, age = 300.milliseconds, passTime = Duration.ZERO) shouldBe 7
            }
        }
    })
