package io.kumquattrail.decision.expert.popularity

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.expert.GroupShape
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random

private val SHAPE = GroupShape(ranks = 4, layers = 1, experts = 2, slotsPerRank = 1, expertBytes = 1)
private const val STEPS = 10L
private val SETTINGS = PopularitySettings(windowSteps = STEPS)

private fun report(
    rank: Int,
    window: Long,
    vararg tokensPerStep: Double,
): ExpertLoadReport {
    val tokens = DoubleArray(SHAPE.experts) { tokensPerStep[it] * STEPS / SHAPE.ranks }
    return ExpertLoadReport(rank, window * STEPS, (window + 1) * STEPS - 1, listOf(tokens))
}

private fun PopularityEstimator.receiveReports(
    window: Long,
    vararg tokensPerStep: Double,
) = repeat(SHAPE.ranks) { receive(report(it, window, *tokensPerStep)) }

private fun PopularityEstimator.layer(): LayerPopularity = popularity().shouldNotBeNull().layers.single()

class PopularityEstimatorSpec :
    DescribeSpec({
        describe("the estimate") {
            it("does not lower the estimate when reports are lost, which is no sign of lower popularity") {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                estimator.receiveReports(0, 100.0, 50.0)
                for (window in 1L..3) repeat(2) { estimator.receive(report(it, window, 100.0, 50.0)) }
                estimator.layer().tokens[0] shouldBe (100.0 plusOrMinus 1e-6)
            }

            it("does not count a report twice") {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                estimator.receive(report(0, 0, 100.0, 50.0)) shouldBe true
                estimator.receive(report(0, 0, 100.0, 50.0)) shouldBe false
            }

            it("follows a lasting change of popularity") {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                for (window in 0L..9) estimator.receiveReports(window, 100.0, 50.0)
                for (window in 10L..19) estimator.receiveReports(window, 150.0, 50.0)
                estimator.layer().tokens[0] shouldBe (150.0 plusOrMinus 10.0)
            }

            it("gives little weight to a burst of one window, which ends before replicas can be moved") {
                val random = Random(1)
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                for (window in 0L..29) estimator.receiveReports(window, 100 + random.nextDouble(-1.0, 1.0), 50.0)
                estimator.receiveReports(30, 200.0, 50.0)
                estimator.layer().tokens[0] shouldBeLessThan 160.0
            }

            it("smooths observations that differ by noise only") {
                val random = Random(2)
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                val errors =
                    (0L..199).map { window ->
                        estimator.receiveReports(window, 100 + random.nextDouble(-5.0, 5.0), 50.0)
                        kotlin.math.abs(estimator.layer().tokens[0] - 100)
                    }
                errors.drop(50).average() shouldBeLessThan 2.0
                estimator.layer().trend shouldBe PopularityTrend.CALM
            }
        }

        describe("the trend") {
            fun trendAfter(periodWindows: Double): PopularityTrend {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                for (window in 0L..119) {
                    val swing = 50 * sin(2 * PI * window / periodWindows)
                    estimator.receiveReports(window, 100 + swing, 100 - swing)
                }
                return estimator.layer().trend
            }

            it("distinguishes a swing, in which moves are soon reverted, from drift, in which they pay off") {
                trendAfter(periodWindows = 40.0) shouldBe PopularityTrend.SWINGING
                trendAfter(periodWindows = 960.0) shouldBe PopularityTrend.DRIFTING
            }
        }

        describe("the peak") {
            it("keeps the peak near an earlier level that a swing may return to") {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                for (window in 0L..9) estimator.receiveReports(window, 100.0, 50.0)
                for (window in 10L..19) estimator.receiveReports(window, 20.0, 50.0)
                estimator.layer().peak[0] shouldBeGreaterThan 80.0
            }
        }

        describe("the speed of ranks") {
            it("does not count a rank with hot experts as straggling") {
                val estimator = RankSpeedEstimator(ranks = 3)
                repeat(5) { estimator.recordTimes(doubleArrayOf(10.0, 10.0, 40.0), doubleArrayOf(1.0, 1.0, 4.0)) }
                estimator.speeds().toList() shouldBe listOf(1.0, 1.0, 1.0)
            }

            it("counts a rank as straggling only after several slow observations") {
                val estimator = RankSpeedEstimator(ranks = 3)
                val tokens = doubleArrayOf(10.0, 10.0, 10.0)
                repeat(5) { estimator.recordTimes(tokens, doubleArrayOf(1.0, 1.0, 1.0)) }
                estimator.recordTimes(tokens, doubleArrayOf(1.0, 1.0, 2.0))
                estimator.stragglers() shouldBe emptyList()
                repeat(4) { estimator.recordTimes(tokens, doubleArrayOf(1.0, 1.0, 2.0)) }
                estimator.stragglers() shouldBe listOf(2)
            }
        }
    })
