package io.kumquattrail.decision.expert.weights

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.LayerPlacement
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration.Companion.seconds

private val NOW = MonotonicTime.ZERO
private val SHAPE = GroupShape(ranks = 2, layers = 1, experts = 2, slotsPerRank = 1, expertBytes = 100)
private val SETTINGS = WeightStoreSettings(storeBytesPerSecond = 1_000.0)

/** Rank 0 holds expert 0, rank 1 holds expert 1. */
private val MAP =
    ExpertMap(persistentListOf(LayerPlacement.of(2, 1, intArrayOf(0, 1), doubleArrayOf(1.0, 1.0))))

private fun fetch(
    expert: Int,
    priority: FetchPriority,
) = WeightFetch(0, expert, 100, priority)

private fun budget(groups: Int = 1): WeightStoreBudget =
    WeightStoreBudget(SETTINGS).also { it.setShare(groups, ownBytes = 100, groupBytes = 100, NOW) }

private fun queue(
    budget: WeightStoreBudget = budget(),
    links: PeerLinks = PeerLinks(),
) = WeightFetchQueue(rank = 0, budget, WeightSourceSelection(SHAPE, links))

class WeightFetchQueueSpec :
    DescribeSpec({
        describe("the order of fetches") {
            it("fetches for a cold replacement before a better balance, which the group can run without") {
                val queue = queue()
                queue.add(fetch(0, FetchPriority.BALANCE))
                queue.add(fetch(1, FetchPriority.COLD_REPLACEMENT))
                val start = queue.next(null, IntArray(2), emptySet(), NOW).shouldBeInstanceOf<FetchDecision.Start>()
                start.fetch.expert shouldBe 1
            }
        }

        describe("the source of weights") {
            it("selects a peer that delivers faster than the rank's share of the store") {
                val queue = queue().also { it.add(fetch(1, FetchPriority.BALANCE)) }
                val start = queue.next(MAP, IntArray(2), emptySet(), NOW).shouldBeInstanceOf<FetchDecision.Start>()
                start.source shouldBe WeightSource.Peer(1)
            }

            it("selects the store when the only peer is serving a fetch, as a second one would slow its steps") {
                val queue = queue().also { it.add(fetch(1, FetchPriority.BALANCE)) }
                val start = queue.next(MAP, intArrayOf(0, 1), emptySet(), NOW).shouldBeInstanceOf<FetchDecision.Start>()
                start.source shouldBe WeightSource.Store
            }
        }

        describe("the budget for the store") {
            it("divides the store's rate between the published groups, so that their sum does not exceed it") {
                budget(groups = 4).bytesPerSecond shouldBe (250.0 plusOrMinus 1e-9)
            }

            it("delays a fetch until the debt of earlier ones is repaid") {
                val budget = budget()
                budget.take(2_000, NOW).shouldBeNull()
                budget.take(100, NOW).shouldNotBeNull() shouldBe 2.seconds
                budget.take(100, NOW + 2.seconds).shouldBeNull()
            }

            it("lowers the rate when the store refuses a fetch, and raises it again over time") {
                val budget = budget()
                budget.recordRefusal(100, retryAfter = 5.seconds, NOW)
                budget.bytesPerSecond shouldBe (500.0 plusOrMinus 1e-9)
                budget.take(100, NOW + 1.seconds).shouldNotBeNull() shouldBe 4.seconds
                budget.take(100, NOW + 60.seconds).shouldBeNull()
                budget.bytesPerSecond shouldBe (1_000.0 plusOrMinus 1e-9)
            }
        }
    })
