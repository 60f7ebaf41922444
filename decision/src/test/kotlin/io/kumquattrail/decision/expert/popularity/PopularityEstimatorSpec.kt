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
    val own = DoubleArray(SHAPE.experts) { tokensPerStep[it] * STEPS / SHAPE.ranks }
    return ExpertLoadReport(rank, window * STEPS, (window + 1) * STEPS - 1, listOf(own))
}

private fun PopularityEstimator.observe(
    window: Long,
    vararg tokensPerStep: Double,
) = repeat(SHAPE.ranks) { receive(report(it, window, *tokensPerStep)) }

private fun PopularityEstimator.layer(): LayerPopularity = popularity().shouldNotBeNull().layers.single()

class PopularityEstimatorSpec :
    DescribeSpec({
        describe("the estimate") {
            it("is not lowered by lost reports, which say nothing about popularity") {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                estimator.observe(0, 100.0, 50.0)
                for (window in 1L..3) repeat(2) { estimator.receive(report(it, window, 100.0, 50.0)) }
                estimator.layer().tokens[0] shouldBe (100.0 plusOrMinus 1e-6)
            }

            it("does not count a report twice") {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                estimator.receive(report(0, 0, 100.0, 50.0)) shouldBe true
                estimator.receive(report(0, 0, 100.0, 50.0)) shouldBe false
            }

            it("follows a lasting change") {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                for (window in 0L..9) estimator.observe(window, 100.0, 50.0)
                for (window in 10L..19) estimator.observe(window, 150.0, 50.0)
                estimator.layer().tokens[0] shouldBe (150.0 plusOrMinus 10.0)
            }

            it("hardly follows a burst of one window, for which moves would come too late") {
                val random = Random(1)
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                for (window in 0L..29) estimator.observe(window, 100 + random.nextDouble(-1.0, 1.0), 50.0)
                estimator.observe(30, 200.0, 50.0)
                estimator.layer().tokens[0] shouldBeLessThan 160.0
            }

            it("is steadier than the observations when these only differ by noise") {
                val random = Random(2)
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                val errors =
                    (0L..199).map { window ->
                        estimator.observe(window, 100 + random.nextDouble(-5.0, 5.0), 50.0)
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
                    estimator.observe(window, 100 + swing, 100 - swing)
                }
                return estimator.layer().trend
            }

            it("tells a swing from drift, where moves that are soon made undone would look worth their price") {
                trendAfter(periodWindows = 40.0) shouldBe PopularityTrend.SWINGING
                trendAfter(periodWindows = 960.0) shouldBe PopularityTrend.DRIFTING
            }
        }

        describe("the peak") {
            it("remembers a level that a swing returns to") {
                val estimator = PopularityEstimator(SHAPE, SETTINGS)
                for (window in 0L..9) estimator.observe(window, 100.0, 50.0)
                for (window in 10L..19) estimator.observe(window, 20.0, 50.0)
                estimator.layer().peak[0] shouldBeGreaterThan 80.0
            }
        }

        describe("the speed of ranks") {
            it("does not count a rank with hot experts as straggling") {
                val estimator = RankSpeedEstimator(ranks = 3)
                repeat(5) { estimator.observe(doubleArrayOf(10.0, 10.0, 40.0), doubleArrayOf(1.0, 1.0, 4.0)) }
                estimator.speeds().toList() shouldBe listOf(1.0, 1.0, 1.0)
            }

            it("counts a rank as straggling only after several slow observations") {
                val estimator = RankSpeedEstimator(ranks = 3)
                val tokens = doubleArrayOf(10.0, 10.0, 10.0)
                repeat(5) { estimator.observe(tokens, doubleArrayOf(1.0, 1.0, 1.0)) }
                estimator.observe(tokens, doubleArrayOf(1.0, 1.0, 2.0))
                estimator.stragglers() shouldBe emptyList()
                repeat(4) { estimator.observe(tokens, doubleArrayOf(1.0, 1.0, 2.0)) }
                estimator.stragglers() shouldBe listOf(2)
            }
        }
    })
