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
 * @property minimumShareGain reduction of a layer's skew above which its shares are changed.
 * @property minimumMoveGain reduction of a layer's skew, beyond that of new shares, above which weights are moved.
 * @property noiseWeight factor with which the observations' noise is added to both minimums.
 * @property calmNoiseWeight factor that is used instead while popularity is calm.
 * @property noiseGainMaximum upper bound of what noise adds to the minimums; forecast errors count as noise too.
 * @property swingTolerance skew that is left in place while popularity swings, since moves would soon be undone.
 * @property moveValueRatio ratio of a move's value to its price above which the move is made.
 * @property movesPerLayer upper bound of the moves of one plan, averaged over the layers.
 * @property trialsPerLayer upper bound of the moves that one plan tries out, averaged over the layers.
 * @property candidateRanks number of lightly loaded ranks that are tried for each move.
 * @property candidateExperts number of experts of a heavily loaded rank that are tried for each move.
 * @property hotRanks number of heavily loaded ranks that are tried for each move.
 * @property balanceIterations upper bound of the iterations in which shares are balanced.
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
    val balanceIterations: Int = 24,
)

/**
 * Changes the present map by moves whose value exceeds their price.
 *
 * In each layer the shares of the present replicas are balanced first, which moves no weights. If too much skew
 * remains, replicas of experts that overload ranks are added on lightly loaded ranks. They take empty slots, or replace
 * replicas that serve few tokens both now and at a recent peak. Of the resulting sequence of moves, the plan takes the
 * leading part for which the value of the reduced skew, over the horizon of the popularity, exceeds the price the most.
 */
class IncrementalPlacement(
    private val settings: IncrementalSettings = IncrementalSettings(),
) : PlacementPolicy {
    override val name: String = "incremental"

    /** Moves, trials and, for each rank, staging copies that one plan may still use. */
    private class Budget(
        var moves: Int,
        var trials: Int,
        var staging: IntArray,
    )

    private class LayerTask(
        val layer: Int,
        val popularity: LayerPopularity,
        val plan: LayerPlan,
        val lowerBound: Double,
        val skewBefore: Double,
    ) {
        val mean = popularity.tokens.sum() / plan.ranks
        val skewAfterShares = plan.maximumRelativeLoad / mean
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
                .map { createTask(input, it, present.layers[it], popularity.layers[it]) }
                .sortedByDescending { it.skewAfterShares - it.lowerBound / it.mean }
        val layers = present.layers.toMutableList()
        var moves = 0
        tasks.forEach { task ->
            val limit = min(budget.moves, MOVES_LIMIT_FACTOR * settings.movesPerLayer)
            val placement = improveLayer(task, input, budget, limit) ?: return@forEach
            moves += placement.replicasMissingIn(layers[task.layer])
            layers[task.layer] = placement
        }
        val map = if (moves == 0 && layers == present.layers) present else ExpertMap(layers.toPersistentList())
        return PlacementPlan(map, moves, isChange = map !== present)
    }

    private fun createTask(
        input: PlacementInput,
        layer: Int,
        placement: LayerPlacement,
        popularity: LayerPopularity,
    ): LayerTask {
        val plan = LayerPlan.of(placement, popularity.tokens, input.rankSpeeds)
        val mean = popularity.tokens.sum() / input.shape.ranks
        val skewBefore = plan.maximumRelativeLoad / mean
        plan.balance(settings.balanceIterations)
        val lowerBound = LowerBound.maximumLoad(popularity.tokens, input.shape.slots, input.rankSpeeds)
        return LayerTask(layer, popularity, plan, lowerBound, skewBefore)
    }

    /** Returns a better placement for the layer, or `null` if no change is worthwhile. */
    private fun improveLayer(
        task: LayerTask,
        input: PlacementInput,
        budget: Budget,
        moveLimit: Int,
    ): LayerPlacement? {
        // While popularity is calm, the remaining skew is noise.
        val weight =
            if (task.popularity.trend ==
                PopularityTrend.CALM
            ) {
                settings.calmNoiseWeight
            } else {
                settings.noiseWeight
            }
        val noise = min(weight * task.popularity.noise, settings.noiseGainMaximum)
        val planWithMoves = planMoves(task, input.shape, input.price, budget, moveLimit, noise)
        if (planWithMoves != null) return planWithMoves.toPlacement()
        val gain = task.skewBefore - task.skewAfterShares
        return if (gain > settings.minimumShareGain + noise) task.plan.toPlacement() else null
    }

    private fun planMoves(
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
        val target = task.lowerBound * (1 + settings.targetExcess + tolerance)
        if (task.skewAfterShares - task.lowerBound / task.mean < minimumGain) return null
        val seconds = task.popularity.horizon.toDouble(DurationUnit.SECONDS)
        val plan = task.plan.copy()
        val stagingBefore = budget.staging.copyOf()
        var stagingAtBest = stagingBefore
        var best: LayerPlan? = null
        var bestNetValue = 0.0
        var moves = 0
        while (moves < moveLimit && budget.trials > 0) {
            val copiesLoaded = makeMove(plan, target, task.popularity, budget)
            if (copiesLoaded == 0) break
            moves += copiesLoaded
            val isCheckpoint = moves % MOVES_PER_CHECKPOINT == 0 || plan.excess(target) < task.mean * NEGLIGIBLE_EXCESS
            if (!isCheckpoint && moves < moveLimit) continue
            plan.balance(settings.balanceIterations)
            val gain = task.skewAfterShares - plan.maximumRelativeLoad / task.mean
            val netValue = price.value(gain, seconds) - settings.moveValueRatio * moves * price.cost(shape.expertBytes)
            if (gain > minimumGain && netValue > bestNetValue) {
                best = plan.copy()
                bestNetValue = netValue
                stagingAtBest = budget.staging.copyOf()
            }
            if (plan.maximumRelativeLoad <= target) break
        }
        budget.staging = stagingAtBest
        val chosen = best ?: return null
        budget.moves -= moves
        return chosen
    }

    /** Makes the best move for one of the most loaded ranks; returns how many expert copies it loads, 0 for no move. */
    private fun makeMove(
        plan: LayerPlan,
        target: Double,
        popularity: LayerPopularity,
        budget: Budget,
    ): Int {
        val ranks = plan.ranksByLoad()
        for (index in ranks.indices.reversed().take(settings.hotRanks)) {
            val hotRank = ranks[index]
            if (plan.relativeLoad(hotRank) <= target) return 0
            val hotSlots =
                plan
                    .slotsOf(hotRank)
                    .filter { plan.expertAt(it) != LayerPlacement.EMPTY && plan.tokensAt(it) > 0 }
                    .sortedByDescending { plan.tokensAt(it) }
                    .take(settings.candidateExperts)
            val moves =
                replicate(plan, hotSlots, ranks, target, popularity, budget)
                    .let { if (it > 0) it else exchange(plan, hotRank, hotSlots, ranks, target, budget) }
            if (moves > 0) return moves
        }
        return 0
    }

    /** Adds a replica of an expert in [hotSlots] on a lightly loaded rank; returns 1, or 0 if none is better. */
    private fun replicate(
        plan: LayerPlan,
        hotSlots: List<Int>,
        ranks: IntArray,
        target: Double,
        popularity: LayerPopularity,
        budget: Budget,
    ): Int {
        var bestExcess = plan.excess(target) * (1 - MINIMUM_IMPROVEMENT_FRACTION)
        var bestSlot = -1
        var bestExpert = LayerPlacement.EMPTY
        for (hotSlot in hotSlots) {
            val expert = plan.expertAt(hotSlot)
            var triedRanks = 0
            for (rank in ranks) {
                if (triedRanks == settings.candidateRanks || plan.relativeLoad(rank) >= target) break
                if (plan.holds(rank, expert)) continue
                val slot = replaceableSlot(plan, rank, popularity) ?: continue
                if (plan.expertAt(slot) != LayerPlacement.EMPTY && budget.staging[rank] == 0) continue
                if (budget.trials == 0) break
                budget.trials -= 1
                triedRanks += 1
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

    /** Returns the slot of [rank] whose replica is needed least, or `null` if each is the only one of its expert. */
    private fun replaceableSlot(
        plan: LayerPlan,
        rank: Int,
        popularity: LayerPopularity,
    ): Int? {
        var selected: Int? = null
        var smallestLoss = Double.MAX_VALUE
        for (slot in plan.slotsOf(rank)) {
            val expert = plan.expertAt(slot)
            if (expert == LayerPlacement.EMPTY) return slot
            if (plan.replicasOf(expert) == 1) continue
            val loss = max(plan.tokensAt(slot), popularity.peak[expert] / plan.replicasOf(expert))
            if (loss < smallestLoss) {
                smallestLoss = loss
                selected = slot
            }
        }
        return selected
    }

    /** Exchanges an expert on [hotRank] for one with fewer tokens, both without other replicas; returns 2, or 0. */
    private fun exchange(
        plan: LayerPlan,
        hotRank: Int,
        hotSlots: List<Int>,
        ranks: IntArray,
        target: Double,
        budget: Budget,
    ): Int {
        if (budget.staging[hotRank] == 0) return 0
        val excessBefore = plan.excess(target)
        for (hotSlot in hotSlots.filter { plan.replicasOf(plan.expertAt(it)) == 1 }) {
            for (rank in ranks.filter { budget.staging[it] > 0 }.take(settings.candidateRanks)) {
                val tokensToShift = (plan.relativeLoad(hotRank) - plan.relativeLoad(rank)) / 2
                val partner =
                    plan
                        .slotsOf(rank)
                        .filter { plan.expertAt(it) != LayerPlacement.EMPTY && plan.replicasOf(plan.expertAt(it)) == 1 }
                        .filter { plan.tokensAt(it) < plan.tokensAt(hotSlot) }
                        .minByOrNull { kotlin.math.abs(plan.tokensAt(hotSlot) - plan.tokensAt(it) - tokensToShift) }
                        ?: continue
                if (plan.holds(rank, plan.expertAt(hotSlot)) || plan.holds(hotRank, plan.expertAt(partner))) continue
                plan.exchange(hotSlot, partner)
                if (plan.excess(target) < excessBefore * (1 - MINIMUM_IMPROVEMENT_FRACTION)) {
                    budget.staging[hotRank] -= 1
                    budget.staging[rank] -= 1
                    return 2
                }
                plan.exchange(hotSlot, partner)
            }
        }
        return 0
    }

    private companion object {
        const val MOVES_PER_CHECKPOINT = 4
        const val MOVES_LIMIT_FACTOR = 4
        const val NEGLIGIBLE_EXCESS = 1e-6
        const val MINIMUM_IMPROVEMENT_FRACTION = 1e-4
    }
}
