package io.kumquattrail.decision.expert.placement

import io.kumquattrail.decision.expert.LayerPlacement
import kotlin.math.abs
import kotlin.math.max

/**
 * Holds the placement of one layer while it is being planned.
 *
 * Tokens are distributed over the given replicas so that the sum of `load² / speed` over all ranks is minimal. Since
 * the sum is convex, this also minimises the maximum of `load / speed`.
 */
internal class LayerPlan private constructor(
    private val slotsPerRank: Int,
    private val tokens: DoubleArray,
    private val speeds: DoubleArray,
    private val experts: IntArray,
    private val slotTokens: DoubleArray,
    private val loads: DoubleArray,
    private val replicaSlots: Array<IntArray>,
    private val replicaCounts: IntArray,
    private val expertsByTokens: IntArray,
) {
    private val savedSlotTokens = DoubleArray(slotTokens.size)
    private val savedLoads = DoubleArray(loads.size)

    val ranks: Int get() = loads.size

    /** Highest relative load, `load / speed`, of all ranks. */
    val maximumRelativeLoad: Double
        get() {
            var highest = 0.0
            for (rank in loads.indices) highest = max(highest, loads[rank] / speeds[rank])
            return highest
        }

    fun expertAt(slot: Int): Int = experts[slot]

    fun tokensAt(slot: Int): Double = slotTokens[slot]

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

    /** Lists all ranks in ascending order of their relative load. */
    fun ranksByLoad(): IntArray {
        // The bits of non-negative floats sort like the floats, which allows sorting ranks without boxing.
        val keys =
            LongArray(ranks) { (relativeLoad(it).toFloat().toRawBits().toLong() shl Int.SIZE_BITS) or it.toLong() }
        keys.sort()
        return IntArray(ranks) { keys[it].toInt() }
    }

    /** Returns the [excess] after [replace] and [balanceAround] of [expert], and then undoes both. */
    fun excessWith(
        slot: Int,
        expert: Int,
        target: Double,
    ): Double {
        slotTokens.copyInto(savedSlotTokens)
        loads.copyInto(savedLoads)
        val replacedExpert = experts[slot]
        replace(slot, expert)
        balanceAround(expert)
        val result = excess(target)
        removeReplica(expert, slot)
        experts[slot] = replacedExpert
        if (replacedExpert != LayerPlacement.EMPTY) addReplica(replacedExpert, slot)
        savedSlotTokens.copyInto(slotTokens)
        savedLoads.copyInto(loads)
        return result
    }

    /** Returns by how many tokens in total ranks exceed the relative load [target]. */
    fun excess(target: Double): Double {
        var sum = 0.0
        for (rank in loads.indices) sum += max(0.0, loads[rank] - target * speeds[rank])
        return sum
    }

    /** Distributes all tokens over the replicas until the maximum relative load converges or [iterations] are done. */
    fun balance(iterations: Int) {
        var previousMaximum = maximumRelativeLoad
        repeat(iterations) {
            for (expert in expertsByTokens) distribute(expert)
            val currentMaximum = maximumRelativeLoad
            if (abs(previousMaximum - currentMaximum) < CONVERGENCE_TOLERANCE * currentMaximum) return
            previousMaximum = currentMaximum
        }
    }

    /** Distributes the tokens of [expert], then those of the other experts on the same ranks, then its own again. */
    fun balanceAround(expert: Int) {
        distribute(expert)
        val slots = replicaSlots[expert]
        for (index in 0 until replicaCounts[expert]) {
            for (slot in slotsOf(slots[index] / slotsPerRank)) {
                val other = experts[slot]
                if (other != LayerPlacement.EMPTY && other != expert && replicaCounts[other] > 1) distribute(other)
            }
        }
        distribute(expert)
    }

    /** Places [expert] in [slot]. An expert that it replaces must have another replica. */
    fun replace(
        slot: Int,
        expert: Int,
    ) {
        val replacedExpert = experts[slot]
        val rank = slot / slotsPerRank
        if (replacedExpert != LayerPlacement.EMPTY) {
            loads[rank] -= slotTokens[slot]
            slotTokens[slot] = 0.0
            removeReplica(replacedExpert, slot)
            experts[slot] = LayerPlacement.EMPTY
            distribute(replacedExpert)
        }
        experts[slot] = expert
        slotTokens[slot] = 0.0
        addReplica(expert, slot)
        distribute(expert)
    }

    /** Exchanges the experts of two slots of different ranks, each of which is the only replica of its expert. */
    fun exchange(
        firstSlot: Int,
        secondSlot: Int,
    ) {
        val firstExpert = experts[firstSlot]
        val secondExpert = experts[secondSlot]
        loads[firstSlot / slotsPerRank] += slotTokens[secondSlot] - slotTokens[firstSlot]
        loads[secondSlot / slotsPerRank] += slotTokens[firstSlot] - slotTokens[secondSlot]
        val tokensBefore = slotTokens[firstSlot]
        slotTokens[firstSlot] = slotTokens[secondSlot]
        slotTokens[secondSlot] = tokensBefore
        experts[firstSlot] = secondExpert
        experts[secondSlot] = firstExpert
        replicaSlots[firstExpert][0] = secondSlot
        replicaSlots[secondExpert][0] = firstSlot
    }

    fun copy(): LayerPlan =
        LayerPlan(
            slotsPerRank,
            tokens,
            speeds,
            experts.copyOf(),
            slotTokens.copyOf(),
            loads.copyOf(),
            Array(replicaSlots.size) { replicaSlots[it].copyOf() },
            replicaCounts.copyOf(),
            expertsByTokens,
        )

    /** Returns the placement with the planned shares. Replicas that receive no tokens keep a share of 0. */
    fun toPlacement(): LayerPlacement {
        val shares =
            DoubleArray(experts.size) { slot ->
                val expert = experts[slot]
                when {
                    expert == LayerPlacement.EMPTY -> 0.0
                    tokens[expert] > 0 -> slotTokens[slot] / tokens[expert]
                    else -> 1.0 / replicaCounts[expert]
                }
            }
        return LayerPlacement.of(ranks, slotsPerRank, experts, shares)
    }

    /**
     * Distributes the tokens of [expert] over its replicas so that their ranks reach a common relative load, with the
     * loads of all other experts unchanged.
     */
    private fun distribute(expert: Int) {
        val count = replicaCounts[expert]
        val slots = replicaSlots[expert]
        var totalLoad = tokens[expert]
        var totalSpeed = 0.0
        for (index in 0 until count) {
            val slot = slots[index]
            val rank = slot / slotsPerRank
            loads[rank] -= slotTokens[slot]
            slotTokens[slot] = 0.0
            totalLoad += loads[rank]
            totalSpeed += speeds[rank]
        }
        var level = totalLoad / totalSpeed
        // Ranks whose other experts already exceed the level receive no tokens, which lowers the level of the others.
        while (true) {
            var openLoad = tokens[expert]
            var openSpeed = 0.0
            for (index in 0 until count) {
                val rank = slots[index] / slotsPerRank
                if (loads[rank] < level * speeds[rank]) {
                    openLoad += loads[rank]
                    openSpeed += speeds[rank]
                }
            }
            val nextLevel = if (openSpeed > 0) openLoad / openSpeed else level
            if (nextLevel >= level - level * ROUNDING_TOLERANCE) break
            level = nextLevel
        }
        var assignedTokens = 0.0
        for (index in 0 until count) {
            val rank = slots[index] / slotsPerRank
            slotTokens[slots[index]] = max(0.0, level * speeds[rank] - loads[rank])
            assignedTokens += slotTokens[slots[index]]
        }
        val scale = if (assignedTokens > 0) tokens[expert] / assignedTokens else 0.0
        for (index in 0 until count) {
            val slot = slots[index]
            slotTokens[slot] = if (assignedTokens > 0) slotTokens[slot] * scale else tokens[expert] / count
            loads[slot / slotsPerRank] += slotTokens[slot]
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
        private const val CONVERGENCE_TOLERANCE = 2e-4
        private const val ROUNDING_TOLERANCE = 1e-12

        /** Creates a plan that starts with the replicas and shares of [placement]. */
        fun of(
            placement: LayerPlacement,
            tokens: DoubleArray,
            speeds: DoubleArray,
        ): LayerPlan {
            val experts = placement.copyExperts()
            val slotTokens = DoubleArray(experts.size)
            val loads = DoubleArray(placement.ranks)
            val counts = IntArray(tokens.size)
            experts.forEach { if (it != LayerPlacement.EMPTY) counts[it]++ }
            val slots = Array(tokens.size) { IntArray(counts[it]) }
            counts.fill(0)
            for (slot in experts.indices) {
                val expert = experts[slot]
                if (expert == LayerPlacement.EMPTY) continue
                slots[expert][counts[expert]++] = slot
                slotTokens[slot] = tokens[expert] * placement.shareAt(slot)
                loads[placement.rankOf(slot)] += slotTokens[slot]
            }
            val expertsByTokens = tokens.indices.sortedByDescending { tokens[it] }.toIntArray()
            return LayerPlan(
                placement.slotsPerRank,
                tokens,
                speeds,
                experts,
                slotTokens,
                loads,
                slots,
                counts,
                expertsByTokens,
            )
        }
    }
}
