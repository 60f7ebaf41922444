package io.kumquattrail.decision.expert.placement

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.LayerPlacement
import kotlinx.collections.immutable.toPersistentList

/**
 * Rebuilds the whole map from nothing: gives every further replica to the expert with the most tokens per replica, and
 * places replicas in descending order on the least loaded rank. Replicas of an expert serve equal shares.
 */
class GreedyRebuild : PlacementPolicy {
    override val name: String = "greedy_rebuild"

    override fun plan(input: PlacementInput): PlacementPlan {
        val popularity = input.popularity ?: return StaticContiguousPlacement().plan(input)
        val layers = popularity.layers.map { layer(input.shape, it.tokens) }
        val map = ExpertMap(layers.toPersistentList())
        val moves = input.present?.let { map.replicasMissingIn(it) } ?: map.layers.sumOf { it.filledSlots }
        return PlacementPlan(map, moves, isChange = map != input.present)
    }

    private fun layer(
        shape: GroupShape,
        tokens: DoubleArray,
    ): LayerPlacement {
        val replicas = replicaCounts(shape, tokens)
        val order =
            (0 until shape.experts)
                .sortedByDescending { tokens[it] / replicas[it] }
                .flatMap { expert -> List(replicas[expert]) { expert } }
        val experts = IntArray(shape.slots) { LayerPlacement.EMPTY }
        val shares = DoubleArray(shape.slots)
        val loads = DoubleArray(shape.ranks)
        val used = IntArray(shape.ranks)
        val served = tokens.copyOf().also { it.fill(0.0) }
        for (expert in order) {
            val rank = leastLoadedRank(shape, expert, experts, loads, used) ?: continue
            val slot = rank * shape.slotsPerRank + used[rank]++
            experts[slot] = expert
            loads[rank] += tokens[expert] / replicas[expert]
            served[expert] += 1.0
        }
        for (slot in experts.indices) {
            if (experts[slot] != LayerPlacement.EMPTY) shares[slot] = 1.0 / served[experts[slot]]
        }
        return LayerPlacement.of(shape.ranks, shape.slotsPerRank, experts, shares)
    }

    private fun replicaCounts(
        shape: GroupShape,
        tokens: DoubleArray,
    ): IntArray {
        val replicas = IntArray(shape.experts) { 1 }
        repeat(shape.slots - shape.experts) {
            val candidates = (0 until shape.experts).filter { replicas[it] < shape.ranks }
            val expert = candidates.maxByOrNull { tokens[it] / replicas[it] } ?: return replicas
            replicas[expert] += 1
        }
        return replicas
    }

    private fun leastLoadedRank(
        shape: GroupShape,
        expert: Int,
        experts: IntArray,
        loads: DoubleArray,
        used: IntArray,
    ): Int? =
        (0 until shape.ranks)
            .filter { rank ->
                val first = rank * shape.slotsPerRank
                used[rank] < shape.slotsPerRank && (first until first + used[rank]).none { experts[it] == expert }
            }.minByOrNull { loads[it] }
}
