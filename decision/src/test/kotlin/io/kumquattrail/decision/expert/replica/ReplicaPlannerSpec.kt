package io.kumquattrail.decision.expert.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.route.EngineGroupFigures
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal fun mapInTurn(
    ranks: Int,
    sets: Int,
    experts: Int,
) = ReplicaMap(
    List(sets) {
        List(ranks) { rank -> (rank until experts step ranks).toImmutableSet() }.toImmutableList()
    }.toImmutableList(),
)

/** Popularity that falls as a power of an expert's place in a random order, as traffic shows it. */
internal fun skewed(
    sets: Int,
    experts: Int,
    random: Random,
    exponent: Double = 1.1,
) = ExpertPopularity(
    List(sets) {
        val order = (0 until experts).shuffled(random)
        val weights = DoubleArray(experts)
        order.forEachIndexed { place, expert -> weights[expert] = (place + 1.0).pow(-exponent) }
        val total = weights.sum()
        DoubleArray(experts) { weights[it] / total }
    },
)

class ReplicaPlannerSpec :
    DescribeSpec({
        val limits = ReplicaLimits(placementsPerRank = 5, newPerSet = 2)
        val planner = ReplicaPlanner(limits)

        describe("a plan after popularity has shifted") {
            it("halves the load of the most loaded rank at least, within the copies of one short change") {
                var map = mapInTurn(ranks = 16, sets = 4, experts = 64)
                val random = Random(11)
                repeat(12) {
                    val popularity = skewed(sets = 4, experts = 64, random = random)
                    val planned = planner.plan(map, popularity)
                    (planned.imbalance(popularity) - 1) shouldBeLessThan (map.imbalance(popularity) - 1) / 2
                    planned.copiesAfter(map).max() shouldBeLessThanOrEqualTo limits.copiesPerRank
                    map = planned
                }
            }

            // Two copies a rank took two or three changes for each shift, each with the price of its orders and counts.
            it("takes away two thirds of the excess in one change where the link is fast") {
                val figures =
                    EngineGroupFigures(
                        layerSets = 6,
                        experts = 64,
                        placementsPerRank = 11,
                        sparePlacements = 4,
                        copyTime = 50.milliseconds,
                    )
                var map = mapInTurn(ranks = 8, sets = 6, experts = 64)
                val random = Random(13)
                repeat(12) {
                    val popularity = skewed(sets = 6, experts = 64, random = random, exponent = 1.5)
                    val planned = ReplicaPlanner(ReplicaLimits.of(figures)).plan(map, popularity)
                    (planned.imbalance(popularity) - 1) shouldBeLessThan (map.imbalance(popularity) - 1) / 3
                    map = planned
                }
            }

            it("copies no longer than callers bear a map that does not suit them") {
                fun limits(copyTime: Duration) =
                    ReplicaLimits.of(
                        EngineGroupFigures(
                            layerSets = 4,
                            experts = 64,
                            placementsPerRank = 5,
                            sparePlacements = 2,
                            copyTime = copyTime,
                        ),
                    )
                listOf(13, 50, 111, 400).map { limits(copyTime = it.milliseconds).copiesPerRank } shouldBe
                    listOf(6, 5, 2, 2)
                limits(copyTime = Duration.ZERO).copiesPerRank shouldBe 2
            }

            it("keeps every expert somewhere and every rank within its places, so that ranks accept it") {
                var map = mapInTurn(ranks = 16, sets = 4, experts = 64)
                val random = Random(12)
                repeat(12) {
                    val planned = planner.plan(map, skewed(sets = 4, experts = 64, random = random))
                    planned.sets.forEachIndexed { set, ranks ->
                        ranks.flatten().toSet().size shouldBe 64
                        ranks.maxOf { it.size } shouldBeLessThanOrEqualTo limits.placementsPerRank
                        ranks.indices.forEach {
                            (ranks[it] - map.sets[set][it]).size shouldBeLessThanOrEqualTo
                                limits.newPerSet
                        }
                    }
                    map = planned
                }
            }

            it("copies nothing when the load is even") {
                val map = mapInTurn(ranks = 16, sets = 4, experts = 64)
                val even = ExpertPopularity(List(4) { DoubleArray(64) { 1.0 / 64 } })
                planner.plan(map, even) shouldBe map
            }
        }
    })

class ChoiceCounterSpec :
    DescribeSpec({
        val server = ServerName("s1")
        val start = MonotonicTime.ZERO

        fun reading(
            vararg counts: Long,
            epoch: Long = 1,
        ) = RankChoices(server, epoch, listOf(counts))

        describe("the estimate after a shift") {
            it("rests on the choices since the last reading only") {
                val counter = ChoiceCounter()
                counter.read(reading(1_000, 0), start)
                counter.restart()
                counter.read(reading(1_000, 500), start + 250.milliseconds)
                counter.popularity()!!.shares.single()[1] shouldBeGreaterThan 0.95
            }

            it("does not take counts that began anew after a restart of the rank as negative choices") {
                val counter = ChoiceCounter()
                counter.read(reading(1_000, 1_000), start)
                counter.read(reading(10, 0, epoch = 2), start + 1.seconds)
                counter
                    .popularity()!!
                    .shares
                    .single()
                    .min() shouldBeGreaterThan 0.0
            }
        }
    })
