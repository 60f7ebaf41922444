package io.kumquattrail.measure.expert

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.LayerPlacement
import io.kumquattrail.decision.expert.change.MapChangeOutcome
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val RANKS = 4

private fun map(first: Int): ExpertMap {
    val experts = IntArray(RANKS) { (it + first) % RANKS }
    return ExpertMap(persistentListOf(LayerPlacement.of(RANKS, 1, experts, DoubleArray(RANKS) { 1.0 })))
}

private fun runningGroup(loadTime: Duration): SimulatedGroup {
    val settings = SimulatedGroupSettings(map(0), RANKS, loadTime = { _, _ -> loadTime })
    val group = SimulatedGroup(settings, Random(1))
    group.queue.runUntil(group.queue.now + 5.seconds)
    return group
}

class SimulatedGroupSpec :
    DescribeSpec({
        describe("a change on healthy ranks") {
            it("stalls no step, however long the weights take to load") {
                val group = runningGroup(loadTime = 3.seconds)
                val stalled = group.stalledSteps
                group.propose(0, map(1))
                group.queue.runUntil(group.queue.now + 10.seconds)
                group.outcomes.filterIsInstance<MapChangeOutcome.Committed>().size shouldBe 2
                group.stalledSteps - stalled shouldBe 0
            }
        }

        describe("a rank whose agent is paused") {
            it("makes the group wait and never lets it run on without that agent") {
                val group = runningGroup(loadTime = 60.milliseconds)
                group.pauseAgent(2, 10.seconds)
                val before = group.completedSteps
                group.queue.runUntil(group.queue.now + 9.seconds)
                group.completedSteps - before shouldBeLessThanOrEqual group.settings.guard.permitWindowSteps + 1L
                group.queue.runUntil(group.queue.now + 5.seconds)
                group.completedSteps - before shouldBeGreaterThan 100L
            }
        }

        describe("the record of maps by step") {
            it("notices a torn step, without which the measurement could not fail") {
                val group = runningGroup(loadTime = 60.milliseconds)
                group.forceMap(rank = 1, map(2))
                group.queue.runUntil(group.queue.now + 1.seconds)
                group.tornSteps shouldBeGreaterThan 0
            }
        }
    })
