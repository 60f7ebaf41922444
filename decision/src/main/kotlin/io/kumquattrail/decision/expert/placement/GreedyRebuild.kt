package io.kumquattrail.decision.expert.placement

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.LayerPlacement
import kotlinx.collections.immutable.toPersistentList

/**
 * Rebuilds the whole map without regard to the present one. Each additional replica goes to the expert with the most
 * tokens per replica; then replicas are placed in descending order of their tokens, each on the least loaded rank that
 * has a free slot and no replica of the expert. All replicas of an expert serve equal shares.
 */
class GreedyRebuild : PlacementPolicy {
    override val name: String = "greedy_rebuild"

    override fun plan(input: PlacementInput): PlacementPlan {
        val popularity = input.popularity ?: return StaticContiguousPlacement().plan(input)
        val layers = popularity.layers.map { planLayer(input.shape, it.tokens) }
        val map = ExpertMap(layers.toPersistentList())
        val moves = input.present?.let { map.replicasMissingIn(it) } ?: map.layers.sumOf { it.filledSlots }
        return PlacementPlan(map, moves, isChange = map != input.present)
    }

    private fun planLayer(
        shape: GroupShape,
        tokens: DoubleArray,
    ): LayerPlacement {
        val replicas = replicaCounts(shape, tokens)
        val expertsInOrder =
            (0 until shape.experts)
                .sortedByDescending { tokens[it] / replicas[it] }
                .flatMap { expert -> List(replicas[expert]) { expert } }
        val experts = IntArray(shape.slots) { LayerPlacement.EMPTY }
        val shares = DoubleArray(shape.slots)
        val loads = DoubleArray(shape.ranks)
        val usedSlots = IntArray(shape.ranks)
        val replicasPlaced = tokens.copyOf().also { it.fill(0.0) }
        for (expert in expertsInOrder) {
            val rank = leastLoadedRank(shape, expert, experts, loads, usedSlots) ?: continue
            val slot = rank * shape.slotsPerRank + usedSlots[rank]++
            experts[slot] = expert
            loads[rank] += tokens[expert] / replicas[expert]
            replicasPlaced[expert] += 1.0
        }
        for (slot in experts.indices) {
            if (experts[slot] != LayerPlacement.EMPTY) shares[slot] = 1.0 / replicasPlaced[experts[slot]]
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
        usedSlots: IntArray,
    ): Int? =
        (0 until shape.ranks)
            .filter { rank ->
                val firstSlot = rank * shape.slotsPerRank
                usedSlots[rank] < shape.slotsPerRank &&
                    (firstSlot until firstSlot + usedSlots[rank]).none { experts[it] == expert }
            }.minByOrNull { loads[it] }
}
