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

internal fun roundRobinMap(
    ranks: Int,
    sets: Int,
    experts: Int,
) = ReplicaMap(
    List(sets) {
        List(ranks) { rank -> (rank until experts step ranks).toImmutableSet() }.toImmutableList()
    }.toImmutableList(),
)

/** Popularity that follows a power law over the experts in random order, as that of real traffic does. */
internal fun skewedPopularity(
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
        val limits = ReplicaLimits(placementsPerRank = 5, newExpertsPerSet = 2)
        val planner = ReplicaPlanner(limits)

        describe("a plan after popularity has shifted") {
            it("a plan at least halves the excess load of the most loaded rank within the limit on copies") {
                var map = roundRobinMap(ranks = 16, sets = 4, experts = 64)
                val random = Random(11)
                repeat(12) {
                    val popularity = skewedPopularity(sets = 4, experts = 64, random = random)
                    val planned = planner.plan(map, popularity)
                    (planned.imbalance(popularity) - 1) shouldBeLessThan (map.imbalance(popularity) - 1) / 2
                    planned.copiesAfter(map).max() shouldBeLessThanOrEqualTo limits.copiesPerRank
                    map = planned
                }
            }

            // Guards against a shift that takes two or three changes, as with two copies per rank: each change has the
            // cost of its orders and counts.
            it("a plan for ranks with a fast link removes at least two thirds of the excess load in one change") {
                val figures =
                    EngineGroupFigures(
                        layerSets = 6,
                        experts = 64,
                        placementsPerRank = 11,
                        sparePlacements = 4,
                        copyTime = 50.milliseconds,
                    )
                var map = roundRobinMap(ranks = 8, sets = 6, experts = 64)
                val random = Random(13)
                repeat(12) {
                    val popularity = skewedPopularity(sets = 6, experts = 64, random = random, exponent = 1.5)
                    val planned = ReplicaPlanner(ReplicaLimits.of(figures)).plan(map, popularity)
                    (planned.imbalance(popularity) - 1) shouldBeLessThan (map.imbalance(popularity) - 1) / 3
                    map = planned
                }
            }

            it("the limit on copies per rank keeps the copying within the time that callers tolerate") {
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

            it("a plan keeps every expert on a rank and every rank within its limits, so that ranks accept it") {
                var map = roundRobinMap(ranks = 16, sets = 4, experts = 64)
                val random = Random(12)
                repeat(12) {
                    val planned = planner.plan(map, skewedPopularity(sets = 4, experts = 64, random = random))
                    planned.sets.forEachIndexed { set, ranks ->
                        ranks.flatten().toSet().size shouldBe 64
                        ranks.maxOf { it.size } shouldBeLessThanOrEqualTo limits.placementsPerRank
                        ranks.indices.forEach {
                            (ranks[it] - map.sets[set][it]).size shouldBeLessThanOrEqualTo
                                limits.newExpertsPerSet
                        }
                    }
                    map = planned
                }
            }

            it("a plan for even load copies nothing") {
                val map = roundRobinMap(ranks = 16, sets = 4, experts = 64)
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

        describe("the popularity estimate after a shift") {
            it("a restarted popularity estimate uses only the choices since the previous reading") {
                val counter = ChoiceCounter()
                counter.addReading(reading(1_000, 0), start)
                counter.clearEstimate()
                counter.addReading(reading(1_000, 500), start + 250.milliseconds)
                counter.popularity()!!.fractions.single()[1] shouldBeGreaterThan 0.95
            }

            it("counts that start again from zero after a restart of the rank do not become negative choices") {
                val counter = ChoiceCounter()
                counter.addReading(reading(1_000, 1_000), start)
                counter.addReading(reading(10, 0, epoch = 2), start + 1.seconds)
                counter
                    .popularity()!!
                    .fractions
                    .single()
                    .min() shouldBeGreaterThan 0.0
            }
        }
    })
