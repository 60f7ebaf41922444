package io.kumquattrail.decision.expert.placement

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.LayerPlacement
import io.kumquattrail.decision.expert.popularity.LayerPopularity
import io.kumquattrail.decision.expert.popularity.PopularityTrend
import kotlinx.collections.immutable.toPersistentList
import kotlin.math.max
import kotlin.math.min
import kotlin.time.DurationUnit

/**
 * Holds the settings of [IncrementalPlacement].
 *
 * @property targetExcess relative excess over the lower bound that planning aims at.
 * @property minimumShareGain skew that new shares must remove before a layer is changed at all.
 * @property minimumMoveGain skew that moves must remove, on top of new shares, before a layer's weights are moved.
 * @property noiseWeight part of the observations' noise that is added to both minimums.
 * @property calmNoiseWeight the same while popularity is calm.
 * @property noiseGainMaximum bound on what noise adds to the minimums; errors of the forecast count as noise as well.
 * @property swingTolerance skew that is left in place while popularity swings, where moves would soon be made undone.
 * @property moveValueRatio ratio of a move's value to its price from which it is worth making.
 * @property movesPerLayer bound on the moves of one plan, averaged over the layers.
 * @property trialsPerLayer bound on the moves that are tried out in one plan, averaged over the layers.
 * @property candidateRanks ranks with little load that are tried for each move.
 * @property candidateExperts experts of a loaded rank that are tried for each move.
 * @property hotRanks loaded ranks that are tried for each move.
 * @property sweeps bound on the passes in which shares are balanced.
 */
data class IncrementalSettings(
    val targetExcess: Double = 0.005,
    val minimumShareGain: Double = 0.004,
    val minimumMoveGain: Double = 0.004,
    val noiseWeight: Double = 0.15,
    val calmNoiseWeight: Double = 3.0,
    val noiseGainMaximum: Double = 0.02,
    val swingTolerance: Double = 0.06,
    val moveValueRatio: Double = 2.0,
    val movesPerLayer: Int = 12,
    val trialsPerLayer: Int = 500,
    val candidateRanks: Int = 12,
    val candidateExperts: Int = 6,
    val hotRanks: Int = 12,
    val sweeps: Int = 24,
)

/**
 * Changes the present map by the moves that are worth their price.
 *
 * In each layer the shares of the present replicas are balanced first, which moves no weights. Where that leaves too much
 * skew, replicas of the experts that overload ranks are added on ranks with little load, in the place of empty slots or of
 * replicas that neither now nor at a recent peak serve much. Of the sequence of moves, the part is taken whose removed
 * skew over the horizon of the popularity exceeds its price by the most.
 */
class IncrementalPlacement(
    private val settings: IncrementalSettings = IncrementalSettings(),
) : PlacementPolicy {
    override val name: String = "incremental"

    private class Budget(
        var moves: Int,
        var trials: Int,
        var staging: IntArray,
    )

    private class LayerTask(
        val layer: Int,
        val popularity: LayerPopularity,
        val plan: LayerPlan,
        val bound: Double,
        val skewBefore: Double,
    ) {
        val mean = popularity.tokens.sum() / plan.ranks
        val skewAfterShares = plan.maximum / mean
    }

    override fun plan(input: PlacementInput): PlacementPlan {
        val present = input.present
        val popularity = input.popularity
        if (present == null || popularity == null) return StaticContiguousPlacement().plan(input)
        val budget =
            Budget(
                moves = settings.movesPerLayer * input.shape.layers,
                trials = settings.trialsPerLayer * input.shape.layers,
                staging = IntArray(input.shape.ranks) { input.stagingPerRank },
            )
        val tasks =
            popularity.layers.indices
                .filter { popularity.layers[it].tokens.sum() > 0 }
                .map { task(input, it, present.layers[it], popularity.layers[it]) }
                .sortedByDescending { it.skewAfterShares - it.bound / it.mean }
        val layers = present.layers.toMutableList()
        var moves = 0
        tasks.forEach { task ->
            val limit = min(budget.moves, MOVES_LIMIT_FACTOR * settings.movesPerLayer)
            val placement = improve(task, input, budget, limit) ?: return@forEach
            moves += placement.replicasMissingIn(layers[task.layer])
            layers[task.layer] = placement
        }
        val map = if (moves == 0 && layers == present.layers) present else ExpertMap(layers.toPersistentList())
        return PlacementPlan(map, moves, isChange = map !== present)
    }

    private fun task(
        input: PlacementInput,
        layer: Int,
        placement: LayerPlacement,
        popularity: LayerPopularity,
    ): LayerTask {
        val plan = LayerPlan.of(placement, popularity.tokens, input.rankSpeeds)
        val mean = popularity.tokens.sum() / input.shape.ranks
        val skewBefore = plan.maximum / mean
        plan.balance(settings.sweeps)
        val bound = LowerBound.maximumLoad(popularity.tokens, input.shape.slots, input.rankSpeeds)
        return LayerTask(layer, popularity, plan, bound, skewBefore)
    }

    /** Returns a better placement for the layer, or `null` when none is worth a change. */
    private fun improve(
        task: LayerTask,
        input: PlacementInput,
        budget: Budget,
        moveLimit: Int,
    ): LayerPlacement? {
        // While popularity is calm, all that is left to balance is noise.
        val weight =
            if (task.popularity.trend ==
                PopularityTrend.CALM
            ) {
                settings.calmNoiseWeight
            } else {
                settings.noiseWeight
            }
        val noise = min(weight * task.popularity.noise, settings.noiseGainMaximum)
        val moved = movesWorthTheirPrice(task, input.shape, input.price, budget, moveLimit, noise)
        if (moved != null) return moved.toPlacement()
        val gain = task.skewBefore - task.skewAfterShares
        return if (gain > settings.minimumShareGain + noise) task.plan.toPlacement() else null
    }

    private fun movesWorthTheirPrice(
        task: LayerTask,
        shape: GroupShape,
        price: MovePrice,
        budget: Budget,
        moveLimit: Int,
        noise: Double,
    ): LayerPlan? {
        val isSwinging = task.popularity.trend == PopularityTrend.SWINGING
        val tolerance = if (isSwinging) settings.swingTolerance else 0.0
        val minimumGain = settings.minimumMoveGain + noise + tolerance
        val target = task.bound * (1 + settings.targetExcess + tolerance)
        if (task.skewAfterShares - task.bound / task.mean < minimumGain) return null
        val seconds = task.popularity.horizon.toDouble(DurationUnit.SECONDS)
        val plan = task.plan.copy()
        val stagingBefore = budget.staging.copyOf()
        var stagingAtBest = stagingBefore
        var best: LayerPlan? = null
        var bestWorth = 0.0
        var moves = 0
        while (moves < moveLimit && budget.trials > 0) {
            val made = move(plan, target, task.popularity, budget)
            if (made == 0) break
            moves += made
            val isCheckpoint = moves % CHECKPOINT_MOVES == 0 || plan.excess(target) < task.mean * NEGLIGIBLE
            if (!isCheckpoint && moves < moveLimit) continue
            plan.balance(settings.sweeps)
            val gain = task.skewAfterShares - plan.maximum / task.mean
            val worth = price.value(gain, seconds) - settings.moveValueRatio * moves * price.cost(shape.expertBytes)
            if (gain > minimumGain && worth > bestWorth) {
                best = plan.copy()
                bestWorth = worth
                stagingAtBest = budget.staging.copyOf()
            }
            if (plan.maximum <= target) break
        }
        budget.staging = stagingAtBest
        val chosen = best ?: return null
        budget.moves -= moves
        return chosen
    }

    /** Makes the best move for one of the most loaded ranks and returns how many expert copies it loads, or 0. */
    private fun move(
        plan: LayerPlan,
        target: Double,
        popularity: LayerPopularity,
        budget: Budget,
    ): Int {
        val ranks = plan.ranksByLoad()
        for (index in ranks.indices.reversed().take(settings.hotRanks)) {
            val hot = ranks[index]
            if (plan.relativeLoad(hot) <= target) return 0
            val hotSlots =
                plan
                    .slotsOf(hot)
                    .filter { plan.expertAt(it) != LayerPlacement.EMPTY && plan.flowAt(it) > 0 }
                    .sortedByDescending { plan.flowAt(it) }
                    .take(settings.candidateExperts)
            val moves =
                replicate(plan, hotSlots, ranks, target, popularity, budget)
                    .let { if (it > 0) it else exchange(plan, hot, hotSlots, ranks, target, budget) }
            if (moves > 0) return moves
        }
        return 0
    }

    /** Adds a replica of one of the experts in [hotSlots] on a rank with little load. */
    private fun replicate(
        plan: LayerPlan,
        hotSlots: List<Int>,
        ranks: IntArray,
        target: Double,
        popularity: LayerPopularity,
        budget: Budget,
    ): Int {
        var bestExcess = plan.excess(target) * (1 - SMALLEST_IMPROVEMENT)
        var bestSlot = -1
        var bestExpert = LayerPlacement.EMPTY
        for (hotSlot in hotSlots) {
            val expert = plan.expertAt(hotSlot)
            var tried = 0
            for (rank in ranks) {
                if (tried == settings.candidateRanks || plan.relativeLoad(rank) >= target) break
                if (plan.holds(rank, expert)) continue
                val slot = victim(plan, rank, popularity) ?: continue
                if (plan.expertAt(slot) != LayerPlacement.EMPTY && budget.staging[rank] == 0) continue
                if (budget.trials == 0) break
                budget.trials -= 1
                tried += 1
                val excess = plan.excessWith(slot, expert, target)
                if (excess < bestExcess) {
                    bestExcess = excess
                    bestSlot = slot
                    bestExpert = expert
                }
            }
        }
        if (bestSlot < 0) return 0
        if (plan.expertAt(bestSlot) != LayerPlacement.EMPTY) budget.staging[plan.rankOf(bestSlot)] -= 1
        plan.replace(bestSlot, bestExpert)
        plan.balanceAround(bestExpert)
        return 1
    }

    /** Selects the slot of [rank] whose loss hurts least, or `null` when each is the only replica of its expert. */
    private fun victim(
        plan: LayerPlan,
        rank: Int,
        popularity: LayerPopularity,
    ): Int? {
        var selected: Int? = null
        var least = Double.MAX_VALUE
        for (slot in plan.slotsOf(rank)) {
            val expert = plan.expertAt(slot)
            if (expert == LayerPlacement.EMPTY) return slot
            if (plan.replicasOf(expert) == 1) continue
            val loss = max(plan.flowAt(slot), popularity.peak[expert] / plan.replicasOf(expert))
            if (loss < least) {
                least = loss
                selected = slot
            }
        }
        return selected
    }

    /** Exchanges an expert of the most loaded rank for a smaller one, where neither has another replica. */
    private fun exchange(
        plan: LayerPlan,
        hot: Int,
        hotSlots: List<Int>,
        ranks: IntArray,
        target: Double,
        budget: Budget,
    ): Int {
        if (budget.staging[hot] == 0) return 0
        val before = plan.excess(target)
        for (hotSlot in hotSlots.filter { plan.replicasOf(plan.expertAt(it)) == 1 }) {
            for (rank in ranks.filter { budget.staging[it] > 0 }.take(settings.candidateRanks)) {
                val gap = (plan.relativeLoad(hot) - plan.relativeLoad(rank)) / 2
                val partner =
                    plan
                        .slotsOf(rank)
                        .filter { plan.expertAt(it) != LayerPlacement.EMPTY && plan.replicasOf(plan.expertAt(it)) == 1 }
                        .filter { plan.flowAt(it) < plan.flowAt(hotSlot) }
                        .minByOrNull { kotlin.math.abs(plan.flowAt(hotSlot) - plan.flowAt(it) - gap) }
                        ?: continue
                if (plan.holds(rank, plan.expertAt(hotSlot)) || plan.holds(hot, plan.expertAt(partner))) continue
                plan.exchange(hotSlot, partner)
                if (plan.excess(target) < before * (1 - SMALLEST_IMPROVEMENT)) {
                    budget.staging[hot] -= 1
                    budget.staging[rank] -= 1
                    return 2
                }
                plan.exchange(hotSlot, partner)
            }
        }
        return 0
    }

    private companion object {
        const val CHECKPOINT_MOVES = 4
        const val MOVES_LIMIT_FACTOR = 4
        const val NEGLIGIBLE = 1e-6
        const val SMALLEST_IMPROVEMENT = 1e-4
    }
}
