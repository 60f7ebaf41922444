package io.kumquattrail.decision.expert.placement

import io.kumquattrail.decision.expert.LayerPlacement
import kotlin.math.abs
import kotlin.math.max

/**
 * Holds the placement of one layer while it is being planned.
 *
 * Shares are chosen so that the sum over ranks of `load² / speed` is minimal. For a convex sum that also minimises the
 * maximum of `load / speed`, for the given replicas.
 */
internal class LayerPlan private constructor(
    private val slotsPerRank: Int,
    private val tokens: DoubleArray,
    private val speeds: DoubleArray,
    private val experts: IntArray,
    private val flows: DoubleArray,
    private val loads: DoubleArray,
    private val replicaSlots: Array<IntArray>,
    private val replicaCounts: IntArray,
    private val order: IntArray,
) {
    private val savedFlows = DoubleArray(flows.size)
    private val savedLoads = DoubleArray(loads.size)

    val ranks: Int get() = loads.size

    /** Highest `load / speed` of all ranks. */
    val maximum: Double
        get() {
            var highest = 0.0
            for (rank in loads.indices) highest = max(highest, loads[rank] / speeds[rank])
            return highest
        }

    fun expertAt(slot: Int): Int = experts[slot]

    fun flowAt(slot: Int): Double = flows[slot]

    fun replicasOf(expert: Int): Int = replicaCounts[expert]

    fun relativeLoad(rank: Int): Double = loads[rank] / speeds[rank]

    fun rankOf(slot: Int): Int = slot / slotsPerRank

    fun slotsOf(rank: Int): IntRange = rank * slotsPerRank until (rank + 1) * slotsPerRank

    fun holds(
        rank: Int,
        expert: Int,
    ): Boolean {
        for (slot in rank * slotsPerRank until (rank + 1) * slotsPerRank) if (experts[slot] == expert) return true
        return false
    }

    /** Lists all ranks by ascending relative load. */
    fun ranksByLoad(): IntArray {
        // Non-negative floats sort like their bits, so that ranks are sorted without boxing.
        val keys =
            LongArray(ranks) { (relativeLoad(it).toFloat().toRawBits().toLong() shl Int.SIZE_BITS) or it.toLong() }
        keys.sort()
        return IntArray(ranks) { keys[it].toInt() }
    }

    /** Returns [excess] as it would be with [expert] in [slot], with shares balanced around it only. */
    fun excessWith(
        slot: Int,
        expert: Int,
        target: Double,
    ): Double {
        flows.copyInto(savedFlows)
        loads.copyInto(savedLoads)
        val replaced = experts[slot]
        replace(slot, expert)
        balanceAround(expert)
        val result = excess(target)
        removeReplica(expert, slot)
        experts[slot] = replaced
        if (replaced != LayerPlacement.EMPTY) addReplica(replaced, slot)
        savedFlows.copyInto(flows)
        savedLoads.copyInto(loads)
        return result
    }

    /** Adds up by how much ranks exceed [target], in tokens. */
    fun excess(target: Double): Double {
        var sum = 0.0
        for (rank in loads.indices) sum += max(0.0, loads[rank] - target * speeds[rank])
        return sum
    }

    /** Spreads all experts over their replicas until the maximum no longer changes or [sweeps] are done. */
    fun balance(sweeps: Int) {
        var last = maximum
        repeat(sweeps) {
            for (expert in order) spread(expert)
            val now = maximum
            if (abs(last - now) < CONVERGED * now) return
            last = now
        }
    }

    /** Spreads [expert] over its replicas and then the other experts on the ranks of these replicas. */
    fun balanceAround(expert: Int) {
        spread(expert)
        val slots = replicaSlots[expert]
        for (index in 0 until replicaCounts[expert]) {
            for (slot in slotsOf(slots[index] / slotsPerRank)) {
                val other = experts[slot]
                if (other != LayerPlacement.EMPTY && other != expert && replicaCounts[other] > 1) spread(other)
            }
        }
        spread(expert)
    }

    /** Puts [expert] into [slot] in place of what is there. The replaced expert must have another replica. */
    fun replace(
        slot: Int,
        expert: Int,
    ) {
        val replaced = experts[slot]
        val rank = slot / slotsPerRank
        if (replaced != LayerPlacement.EMPTY) {
            loads[rank] -= flows[slot]
            flows[slot] = 0.0
            removeReplica(replaced, slot)
            experts[slot] = LayerPlacement.EMPTY
            spread(replaced)
        }
        experts[slot] = expert
        flows[slot] = 0.0
        addReplica(expert, slot)
        spread(expert)
    }

    /** Exchanges the experts of two slots of different ranks, each of which is the only replica of its expert. */
    fun exchange(
        first: Int,
        second: Int,
    ) {
        val firstExpert = experts[first]
        val secondExpert = experts[second]
        loads[first / slotsPerRank] += flows[second] - flows[first]
        loads[second / slotsPerRank] += flows[first] - flows[second]
        val flow = flows[first]
        flows[first] = flows[second]
        flows[second] = flow
        experts[first] = secondExpert
        experts[second] = firstExpert
        replicaSlots[firstExpert][0] = second
        replicaSlots[secondExpert][0] = first
    }

    fun copy(): LayerPlan =
        LayerPlan(
            slotsPerRank,
            tokens,
            speeds,
            experts.copyOf(),
            flows.copyOf(),
            loads.copyOf(),
            Array(replicaSlots.size) { replicaSlots[it].copyOf() },
            replicaCounts.copyOf(),
            order,
        )

    /** Returns the placement with the planned shares. Replicas that receive no tokens keep a share of 0. */
    fun toPlacement(): LayerPlacement {
        val shares =
            DoubleArray(experts.size) { slot ->
                val expert = experts[slot]
                when {
                    expert == LayerPlacement.EMPTY -> 0.0
                    tokens[expert] > 0 -> flows[slot] / tokens[expert]
                    else -> 1.0 / replicaCounts[expert]
                }
            }
        return LayerPlacement.of(ranks, slotsPerRank, experts, shares)
    }

    /** Fills the replicas of [expert] up to a common relative load, with the other experts' loads given. */
    private fun spread(expert: Int) {
        val count = replicaCounts[expert]
        val slots = replicaSlots[expert]
        var free = tokens[expert]
        var speed = 0.0
        for (index in 0 until count) {
            val slot = slots[index]
            val rank = slot / slotsPerRank
            loads[rank] -= flows[slot]
            flows[slot] = 0.0
            free += loads[rank]
            speed += speeds[rank]
        }
        var level = free / speed
        // Ranks whose other experts already exceed the level receive nothing, which lowers the level of the others.
        while (true) {
            var remaining = tokens[expert]
            var open = 0.0
            for (index in 0 until count) {
                val rank = slots[index] / slotsPerRank
                if (loads[rank] < level * speeds[rank]) {
                    remaining += loads[rank]
                    open += speeds[rank]
                }
            }
            val next = if (open > 0) remaining / open else level
            if (next >= level - level * ROUNDING) break
            level = next
        }
        var filled = 0.0
        for (index in 0 until count) {
            val rank = slots[index] / slotsPerRank
            flows[slots[index]] = max(0.0, level * speeds[rank] - loads[rank])
            filled += flows[slots[index]]
        }
        val scale = if (filled > 0) tokens[expert] / filled else 0.0
        for (index in 0 until count) {
            val slot = slots[index]
            flows[slot] = if (filled > 0) flows[slot] * scale else tokens[expert] / count
            loads[slot / slotsPerRank] += flows[slot]
        }
    }

    private fun addReplica(
        expert: Int,
        slot: Int,
    ) {
        val count = replicaCounts[expert]
        if (count == replicaSlots[expert].size) replicaSlots[expert] = replicaSlots[expert].copyOf(count * 2 + 1)
        replicaSlots[expert][count] = slot
        replicaCounts[expert] = count + 1
    }

    private fun removeReplica(
        expert: Int,
        slot: Int,
    ) {
        val count = replicaCounts[expert]
        val slots = replicaSlots[expert]
        val index = slots.indexOf(slot)
        slots[index] = slots[count - 1]
        replicaCounts[expert] = count - 1
    }

    companion object {
        private const val CONVERGED = 2e-4
        private const val ROUNDING = 1e-12

        /** Creates a plan that starts with the replicas and shares of [placement]. */
        fun of(
            placement: LayerPlacement,
            tokens: DoubleArray,
            speeds: DoubleArray,
        ): LayerPlan {
            val experts = placement.copyExperts()
            val flows = DoubleArray(experts.size)
            val loads = DoubleArray(placement.ranks)
            val counts = IntArray(tokens.size)
            experts.forEach { if (it != LayerPlacement.EMPTY) counts[it]++ }
            val slots = Array(tokens.size) { IntArray(counts[it]) }
            counts.fill(0)
            for (slot in experts.indices) {
                val expert = experts[slot]
                if (expert == LayerPlacement.EMPTY) continue
                slots[expert][counts[expert]++] = slot
                flows[slot] = tokens[expert] * placement.shareAt(slot)
                loads[placement.rankOf(slot)] += flows[slot]
            }
            val order = tokens.indices.sortedByDescending { tokens[it] }.toIntArray()
            return LayerPlan(placement.slotsPerRank, tokens, speeds, experts, flows, loads, slots, counts, order)
        }
    }
}
