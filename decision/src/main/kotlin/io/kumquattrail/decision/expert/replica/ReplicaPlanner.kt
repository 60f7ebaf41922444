package io.kumquattrail.decision.expert.replica

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet

/**
 * Bounds a plan.
 *
 * @property placementsPerRank experts that a rank holds at most, a set.
 * @property newPerRank experts that a rank can load for one change, a set.
 * @property roundsPerSet improvements that are searched for at most, a set; it bounds the time of a plan.
 */
data class ReplicaLimits(
    val placementsPerRank: Int,
    val newPerRank: Int,
    val roundsPerSet: Int = 400,
)

/**
 * Plans an expert map for a popularity, as a change of the present map.
 *
 * Load pattern: the popularity of experts shifts every few seconds, and all ranks wait for the most loaded one in every
 * set. The plan relieves the most loaded rank of a set step by step: it adds a replica elsewhere, moves an expert away
 * or swaps two, and takes the step that leaves the lowest loads. It ends when no step relieves the most loaded rank.
 */
class ReplicaPlanner(
    private val limits: ReplicaLimits,
) {
    /** Returns the map that follows [present] for [popularity]. */
    fun plan(
        present: ReplicaMap,
        popularity: ExpertPopularity,
    ): ReplicaMap =
        ReplicaMap(
            present.sets
                .mapIndexed { set, ranks -> SetPlan(ranks, popularity.shares[set], limits).improved() }
                .toImmutableList(),
        )
}

/** The search for the placement of one set. */
private class SetPlan(
    present: List<Set<Int>>,
    private val shares: DoubleArray,
    private val limits: ReplicaLimits,
) {
    private val before = present.map { it.toSet() }
    private val held = present.map { it.toMutableSet() }
    private val holders = Array(shares.size) { expert -> held.indices.filterTo(HashSet()) { expert in held[it] } }
    private val loads = DoubleArray(held.size)

    init {
        recompute()
    }

    fun improved() =
        run {
            repeat(limits.roundsPerSet) { if (!relieveHottest()) return@run }
        }.let { held.map { it.toImmutableSet() }.toImmutableList() }

    private fun relieveHottest(): Boolean {
        val hottest = loads.indices.maxBy { loads[it] }
        var best: Step? = null
        var bestCost = cost() - SMALLEST_GAIN
        for (expert in held[hottest].toList()) {
            for (target in held.indices) {
                if (target == hottest || expert in held[target]) continue
                for (step in stepsTo(expert, hottest, target)) {
                    if (!isAllowed(step)) continue
                    val cost = costAfter(step)
                    if (cost < bestCost) {
                        bestCost = cost
                        best = step
                    }
                }
            }
        }
        apply(best ?: return false)
        return true
    }

    /** Steps that bring [expert] from [hottest] to [target]: as a replica or moved, into a free place or for another. */
    private fun stepsTo(
        expert: Int,
        hottest: Int,
        target: Int,
    ): Sequence<Step> =
        sequence {
            if (held[target].size < limits.placementsPerRank) {
                yield(Step(hottest, target, expert, leaves = false, displaced = null, returned = false))
                yield(Step(hottest, target, expert, leaves = true, displaced = null, returned = false))
            }
            for (displaced in held[target].toList()) {
                if (holders[displaced].size > 1) {
                    yield(Step(hottest, target, expert, leaves = false, displaced = displaced, returned = false))
                    yield(Step(hottest, target, expert, leaves = true, displaced = displaced, returned = false))
                }
                if (displaced !in held[hottest]) {
                    yield(Step(hottest, target, expert, leaves = true, displaced = displaced, returned = true))
                }
            }
        }

    private fun isAllowed(step: Step): Boolean {
        val addedAtTarget = held[step.target].filter { it != step.displaced } + step.expert
        if (addedAtTarget.count { it !in before[step.target] } > limits.newPerRank) return false
        if (!step.returned) return true
        val addedAtHottest = held[step.hottest].filter { it != step.expert } + listOfNotNull(step.displaced)
        return addedAtHottest.count { it !in before[step.hottest] } <= limits.newPerRank
    }

    private fun costAfter(step: Step): Double {
        apply(step)
        val cost = cost()
        undo(step)
        return cost
    }

    private fun apply(step: Step) {
        add(step.target, step.expert)
        if (step.displaced != null) remove(step.target, step.displaced)
        if (step.leaves) remove(step.hottest, step.expert)
        if (step.returned && step.displaced != null) add(step.hottest, step.displaced)
    }

    private fun undo(step: Step) {
        if (step.returned && step.displaced != null) remove(step.hottest, step.displaced)
        if (step.leaves) add(step.hottest, step.expert)
        if (step.displaced != null) add(step.target, step.displaced)
        remove(step.target, step.expert)
    }

    private fun add(
        rank: Int,
        expert: Int,
    ) {
        val holding = holders[expert]
        if (holding.isNotEmpty()) holding.forEach { loads[it] -= shares[expert] / holding.size }
        holding += rank
        held[rank] += expert
        holding.forEach { loads[it] += shares[expert] / holding.size }
    }

    private fun remove(
        rank: Int,
        expert: Int,
    ) {
        val holding = holders[expert]
        holding.forEach { loads[it] -= shares[expert] / holding.size }
        holding -= rank
        held[rank] -= expert
        if (holding.isNotEmpty()) holding.forEach { loads[it] += shares[expert] / holding.size }
    }

    private fun recompute() {
        loads.fill(0.0)
        shares.indices.forEach { expert ->
            holders[expert].forEach { loads[it] += shares[expert] / holders[expert].size }
        }
    }

    // The highest load decides; a small part of the squares prefers steps that leave room for further ones.
    private fun cost(): Double {
        var highest = 0.0
        var squares = 0.0
        for (load in loads) {
            if (load > highest) highest = load
            squares += load * load
        }
        return highest + SQUARES_WEIGHT * squares
    }

    private data class Step(
        val hottest: Int,
        val target: Int,
        val expert: Int,
        val leaves: Boolean,
        val displaced: Int?,
        val returned: Boolean,
    )

    private companion object {
        /** Gain below which a step is not worth a copy; shares of a set sum to 1. */
        const val SMALLEST_GAIN = 1e-5
        const val SQUARES_WEIGHT = 0.1
    }
}
