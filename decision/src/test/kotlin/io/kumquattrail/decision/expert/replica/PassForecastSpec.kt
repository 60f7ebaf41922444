package io.kumquattrail.decision.expert.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val REPORT_LAG = 200.milliseconds
private val PREPARATION = 130.milliseconds

/** Refusals of the first holds of a change, and passes that the accepted hold was ahead. */
private class HeldChange(
    val refusals: Int,
    val ahead: Long,
)

private fun change(
    forecast: PassForecast,
    startedAt: Duration,
    passTime: Duration,
): HeldChange {
    val reported = ((startedAt - REPORT_LAG) / passTime).toLong()
    val reached = ((startedAt + PREPARATION) / passTime).toLong()
    val first = forecast.reached(reported, age = PREPARATION, passTime = passTime) + 1
    val refusals = (reached + 1 - first).coerceAtLeast(0).toInt()
    forecast.holdAccepted(refusals, passTime)
    return HeldChange(refusals = refusals, ahead = (first - reached - 1).coerceAtLeast(0))
}

class PassForecastSpec :
    DescribeSpec({
        describe("holds of a group whose reports lag by several passes") {
            val random = Random(31)
            val forecast = PassForecast()
            val changes =
                List(60) { number ->
                    val startedAt = 10_000.milliseconds + 1_700.milliseconds * number
                    change(forecast, startedAt, passTime = random.nextInt(40, 90).milliseconds)
                }

            // Holds one pass after another from the reported one on were a quarter of all orders.
            it("are hardly ever refused once the lag is known") {
                changes.drop(10).sumOf { it.refusals } shouldBeLessThanOrEqual 50
            }

            it("are not so far ahead that the change waits for long") {
                changes.maxOf { it.ahead } shouldBeLessThanOrEqual 3
            }
        }

        describe("holds that are refused again and again for another reason than the lag of reports") {
            it("do not put off later changes by more than that lag") {
                val forecast = PassForecast(longestLag = 350.milliseconds)
                repeat(20) { forecast.holdAccepted(refusals = 40, passTime = 60.milliseconds) }
                forecast.reached(reported = 100, age = Duration.ZERO, passTime = 50.milliseconds) shouldBe 107
            }
        }

        describe("a forecast without a known pace") {
            it("is the reported pass") {
                PassForecast().reached(reported = 7, age = 300.milliseconds, passTime = Duration.ZERO) shouldBe 7
            }
        }
    })
