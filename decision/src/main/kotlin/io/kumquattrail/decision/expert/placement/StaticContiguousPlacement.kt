package io.kumquattrail.decision.expert.placement

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.LayerPlacement
import kotlinx.collections.immutable.toPersistentList

/** Places experts in the order of their numbers, with equal shares for replicas, and never changes a map. */
class StaticContiguousPlacement : PlacementPolicy {
    override val name: String = "static_contiguous"

    override fun plan(input: PlacementInput): PlacementPlan {
        val present = input.present
        if (present != null) return PlacementPlan(present, moves = 0, isChange = false)
        val shape = input.shape
        val map = ExpertMap(List(shape.layers) { placeLayer(shape) }.toPersistentList())
        return PlacementPlan(map, map.layers.sumOf { it.filledSlots }, isChange = true)
    }

    /** Places each expert on one rank; if there are more ranks than experts, places one expert on each rank. */
    private fun placeLayer(shape: GroupShape): LayerPlacement {
        val experts = IntArray(shape.slots) { LayerPlacement.EMPTY }
        val shares = DoubleArray(shape.slots)
        if (shape.ranks <= shape.experts) {
            val usedSlots = IntArray(shape.ranks)
            for (expert in 0 until shape.experts) {
                val rank = (expert.toLong() * shape.ranks / shape.experts).toInt()
                val slot = rank * shape.slotsPerRank + usedSlots[rank]++
                experts[slot] = expert
                shares[slot] = 1.0
            }
        } else {
            val replicas = IntArray(shape.experts)
            for (rank in 0 until shape.ranks) {
                val expert = (rank.toLong() * shape.experts / shape.ranks).toInt()
                experts[rank * shape.slotsPerRank] = expert
                replicas[expert] += 1
            }
            for (slot in experts.indices) {
                if (experts[slot] != LayerPlacement.EMPTY) shares[slot] = 1.0 / replicas[experts[slot]]
            }
        }
        return LayerPlacement.of(shape.ranks, shape.slotsPerRank, experts, shares)
    }
}
