package io.kumquattrail.decision.expert.placement

import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.LayerPlacement
import io.kumquattrail.decision.expert.popularity.LayerPopularity
import io.kumquattrail.decision.expert.popularity.Popularity
import io.kumquattrail.decision.expert.popularity.PopularityTrend
import kotlinx.collections.immutable.persistentListOf
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

private val SHAPE = GroupShape(ranks = 16, layers = 2, experts = 128, slotsPerRank = 10, expertBytes = 44_000_000)

private fun skewedTokens(seed: Long): DoubleArray {
    val random = Random(seed).asJavaRandom()
    return DoubleArray(SHAPE.experts) { 64 * exp(0.7 * random.nextGaussian()) }
}

private fun popularity(tokens: DoubleArray) =
    Popularity(
        List(SHAPE.layers) {
            LayerPopularity(tokens, horizon = 1.hours)
        },
    )

private fun initialMap(): ExpertMap =
    StaticContiguousPlacement().plan(PlacementInput(SHAPE, present = null, popularity = null)).map

private fun loads(
    map: ExpertMap,
    tokens: DoubleArray,
): DoubleArray = DoubleArray(SHAPE.ranks).also { map.layers.first().addLoads(tokens, it) }

/** Plans [rounds] times in a row, each time from the map of the previous plan, and returns the last map. */
private fun planRepeatedly(
    tokens: DoubleArray,
    start: ExpertMap = initialMap(),
    speeds: DoubleArray = DoubleArray(SHAPE.ranks) { 1.0 },
    rounds: Int = 10,
): ExpertMap =
    (1..rounds).fold(start) { map, _ ->
        IncrementalPlacement().plan(PlacementInput(SHAPE, map, popularity(tokens), speeds)).map
    }

/** Plans for two alternating popularity patterns and returns the number of moves of each plan. */
private fun movesOfAlternatingPlans(): List<Int> {
    val patterns = listOf(skewedTokens(seed = 6), skewedTokens(seed = 7))
    val peak = DoubleArray(SHAPE.experts) { maxOf(patterns[0][it], patterns[1][it]) }
    var map = initialMap()
    return (0 until 24).map { index ->
        val layer = LayerPopularity(patterns[index % 2], peak, horizon = 1.hours)
        val input = PlacementInput(SHAPE, map, Popularity(List(SHAPE.layers) { layer }))
        val plan = IncrementalPlacement().plan(input)
        map = plan.map
        plan.moves
    }
}

class IncrementalPlacementSpec :
    DescribeSpec({
        describe("a plan for skewed traffic") {
            it("plans for skewed traffic come within 3% of the lower bound, which static placement misses by far") {
                val tokens = skewedTokens(seed = 1)
                val bound = LowerBound.maximumLoad(tokens, SHAPE.slots, DoubleArray(SHAPE.ranks) { 1.0 })
                loads(planRepeatedly(tokens), tokens).max() / bound shouldBeLessThan 1.03
            }

            it("the shares of each expert in a plan for skewed traffic sum to 1, so that no tokens are lost") {
                planRepeatedly(skewedTokens(seed = 2)).check(SHAPE.experts) shouldBe Ok(Unit)
            }

            it("a plan replaces no more expert copies on a rank than its memory can hold beside those in use") {
                val before = PlacementInput(SHAPE, initialMap(), popularity(skewedTokens(seed = 3)))
                val fullMap = GreedyRebuild().plan(before).map
                listOf(16, 1, 0)
                    .map { staging ->
                        val input =
                            PlacementInput(SHAPE, fullMap, popularity(skewedTokens(seed = 4)), stagingPerRank = staging)
                        val planned = IncrementalPlacement().plan(input).map
                        (0 until SHAPE.ranks).maxOf { planned.replicasMissingIn(fullMap, it) }.also {
                            it shouldBeLessThanOrEqual staging
                        }
                    }.first() shouldBeGreaterThan 1
            }

            it("a plan moves nothing when the popularity does not last long enough for moves to be worth their price") {
                val brief = List(SHAPE.layers) { LayerPopularity(skewedTokens(seed = 1), horizon = 1.milliseconds) }
                IncrementalPlacement().plan(PlacementInput(SHAPE, initialMap(), Popularity(brief))).moves shouldBe 0
            }
        }

        describe("a plan for calm uniform traffic") {
            it("a plan for calm uniform traffic changes nothing, as following noise would move weights for no gain") {
                val random = Random(5)
                val tokens = DoubleArray(SHAPE.experts) { 64 * (1 + 0.02 * random.nextDouble(-2.0, 2.0)) }
                val layer = LayerPopularity(tokens, noise = 0.02, trend = PopularityTrend.CALM, horizon = 1.hours)
                val input = PlacementInput(SHAPE, initialMap(), Popularity(List(SHAPE.layers) { layer }))
                IncrementalPlacement().plan(input).isChange shouldBe false
            }
        }

        describe("plans for popularity that swings between two patterns") {
            it("plans for swinging popularity stop moving weights once replicas for both patterns are in place") {
                val moves = movesOfAlternatingPlans()
                moves.take(8).sum() shouldBeGreaterThan 0
                moves.takeLast(8).sum() shouldBeLessThanOrEqual moves.take(8).sum() / 10
            }

            it("a plan replaces a replica that no recent peak needs, since any other would soon be loaded again") {
                val shape = GroupShape(ranks = 3, layers = 1, experts = 7, slotsPerRank = 3, expertBytes = 44_000_000)
                val experts = intArrayOf(0, 1, 2, 3, 4, 5, 3, 4, 6)
                val shares = doubleArrayOf(1.0, 1.0, 1.0, 0.0, 0.0, 1.0, 1.0, 1.0, 1.0)
                val map = ExpertMap(persistentListOf(LayerPlacement.of(3, 3, experts, shares)))
                val tokens = doubleArrayOf(100.0, 1.0, 1.0, 10.0, 12.0, 70.0, 10.0)
                val peak = tokens.copyOf().also { it[3] = 200.0 }
                val layer = LayerPopularity(tokens, peak, horizon = 1.hours)
                val singleMovePlacement = IncrementalPlacement(IncrementalSettings(movesPerLayer = 1))
                val planned =
                    singleMovePlacement
                        .plan(PlacementInput(shape, map, Popularity(listOf(layer))))
                        .map.layers
                        .single()
                planned.expertsOf(rank = 2) shouldBe listOf(3, 0, 6)
            }
        }

        describe("a plan for a group with a straggling rank") {
            it("a plan gives a straggling rank less load, since all ranks wait for it in every step") {
                val speeds = DoubleArray(SHAPE.ranks) { if (it == 3) 0.5 else 1.0 }
                val tokens = skewedTokens(seed = 8)
                val planned = loads(planRepeatedly(tokens, speeds = speeds), tokens)
                val mean = planned.filterIndexed { rank, _ -> rank != 3 }.average()
                planned[3] / mean shouldBeLessThan 0.55
            }
        }
    })
