package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.route.EngineGroupFigures
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlin.time.Duration.Companion.milliseconds

/**
 * Bounds a plan.
 *
 * @property placementsPerRank experts that a rank holds at most, a set.
 * @property newPerSet experts that a rank can load for one change, a set.
 * @property copiesPerRank experts that a rank loads for one change at most, over all sets. A rank copies one after the
 *   other, so this bounds the time until the change takes effect.
 * @property leastGainPerCopy reduction of the highest load, in mean loads, that is worth a copy.
 * @property roundsPerSet improvements that are searched for at most, a set; it bounds the time of a plan.
 */
data class ReplicaLimits(
    val placementsPerRank: Int,
    val newPerSet: Int,
    val copiesPerRank: Int = 2,
    val leastGainPerCopy: Double = 0.02,
    val roundsPerSet: Int = 200,
) {
    companion object {
        /** Time for which callers bear a map that does not suit them, so that one change brings one that does. */
        private val LONGEST_COPYING = 250.milliseconds

        private const val LEAST_COPIES = 2

        /** Copies of a rank with a very fast link; more gain little for their price. */
        private const val MOST_COPIES = 6

        /**
         * Returns the limits of a group with [figures].
         *
         * Load pattern: popularity shifts every few seconds. A change has the price of its orders and counts however
         * many experts it copies, so a rank with a fast link copies at once what the shift calls for.
         */
        fun of(figures: EngineGroupFigures): ReplicaLimits {
            val copies = if (figures.copyTime.isPositive()) LONGEST_COPYING / figures.copyTime else 0.0
            return ReplicaLimits(
                placementsPerRank = figures.placementsPerRank,
                newPerSet = figures.sparePlacements,
                copiesPerRank = copies.toInt().coerceIn(LEAST_COPIES, MOST_COPIES),
            )
        }
    }
}

/**
 * Plans an expert map for a popularity, as a change of the present map.
 *
 * Load pattern: the popularity of experts shifts every few seconds, and all ranks wait for the most loaded one in every
 * set. The plan relieves the most loaded rank of a set step by step: it adds a replica elsewhere, moves an expert away
 * or swaps two, and takes the step that leaves the lowest loads. It ends when no step is worth its copies. Sets with the
 * highest load come first, as the copies of a rank are limited.
 */
class ReplicaPlanner(
    private val limits: ReplicaLimits,
) {
    /** Returns the map that follows [present] for [popularity]. */
    fun plan(
        present: ReplicaMap,
        popularity: ExpertPopularity,
    ): ReplicaMap {
        val copiesLeft = IntArray(present.ranks) { limits.copiesPerRank }
        val order =
            present.sets.indices.sortedByDescending { SetLoads(popularity.shares[it], present.sets[it]).highest }
        val planned = present.sets.toMutableList()
        order.forEach { set ->
            planned[set] = SetPlan(present.sets[set], popularity.shares[set], limits, copiesLeft).improved()
        }
        return ReplicaMap(planned.toImmutableList())
    }
}

private const val NONE = -1

/** The search for the placement of one set. It takes the copies that it needs from [copiesLeft]. */
private class SetPlan(
    present: List<Set<Int>>,
    private val shares: DoubleArray,
    private val limits: ReplicaLimits,
    private val copiesLeft: IntArray,
) {
    private val ranks = present.size
    private val before = Array(ranks) { rank -> BooleanArray(shares.size) { it in present[rank] } }
    private val held = Array(ranks) { before[it].copyOf() }
    private val heldCount = IntArray(ranks) { present[it].size }
    private val newCount = IntArray(ranks)
    private val replicas = IntArray(shares.size) { expert -> held.count { it[expert] } }
    private val loads = DoubleArray(ranks) { rank -> present[rank].sumOf { shares[it] / replicas[it] } }
    private val leastGain = limits.leastGainPerCopy * loads.average()

    // The step that is tried, as plain fields, since many thousand are tried for a plan.
    private var bestCost = 0.0
    private var best: Step? = null

    fun improved() =
        run {
            var rounds = 0
            while (rounds < limits.roundsPerSet && relieveHottest()) rounds += 1
            for (rank in 0 until ranks) copiesLeft[rank] -= newCount[rank]
            held.map { experts -> experts.indices.filter { experts[it] }.toImmutableSet() }.toImmutableList()
        }

    private fun relieveHottest(): Boolean {
        var hottest = 0
        for (rank in 1 until ranks) if (loads[rank] > loads[hottest]) hottest = rank
        best = null
        bestCost = cost()
        for (expert in shares.indices) {
            if (!held[hottest][expert]) continue
            for (target in 0 until ranks) {
                if (!held[target][expert] && loads[target] < loads[hottest]) tryTarget(hottest, expert, target)
            }
        }
        apply(best ?: return false)
        return true
    }

    /** Tries to bring [expert] from [hottest] to [target]: as a replica or moved, into a free place or for another. */
    private fun tryTarget(
        hottest: Int,
        expert: Int,
        target: Int,
    ) {
        if (heldCount[target] < limits.placementsPerRank) {
            attempt(Step(hottest, target, expert, leaves = false))
            attempt(Step(hottest, target, expert, leaves = true))
        }
        for (displaced in shares.indices) {
            if (!held[target][displaced]) continue
            if (replicas[displaced] > 1) {
                attempt(Step(hottest, target, expert, leaves = false, displaced = displaced))
                attempt(Step(hottest, target, expert, leaves = true, displaced = displaced))
            }
            if (!held[hottest][displaced]) {
                attempt(Step(hottest, target, expert, leaves = true, displaced = displaced, returned = true))
            }
        }
    }

    private fun attempt(step: Step) {
        val copiesBefore = newCount[step.target] + newCount[step.hottest]
        apply(step)
        val copies = newCount[step.target] + newCount[step.hottest] - copiesBefore
        val cost = cost() + leastGain * maxOf(copies, 0)
        val allowed = isAllowed(step.target) && isAllowed(step.hottest)
        undo(step)
        if (allowed && cost < bestCost - SMALLEST_GAIN) {
            bestCost = cost
            best = step
        }
    }

    private fun isAllowed(rank: Int): Boolean = newCount[rank] <= limits.newPerSet && newCount[rank] <= copiesLeft[rank]

    private fun apply(step: Step) {
        add(step.target, step.expert)
        if (step.displaced != NONE) remove(step.target, step.displaced)
        if (step.leaves) remove(step.hottest, step.expert)
        if (step.returned) add(step.hottest, step.displaced)
    }

    private fun undo(step: Step) {
        if (step.returned) remove(step.hottest, step.displaced)
        if (step.leaves) add(step.hottest, step.expert)
        if (step.displaced != NONE) add(step.target, step.displaced)
        remove(step.target, step.expert)
    }

    private fun add(
        rank: Int,
        expert: Int,
    ) {
        held[rank][expert] = true
        heldCount[rank] += 1
        if (!before[rank][expert]) newCount[rank] += 1
        replicas[expert] += 1
        val each = shares[expert] / replicas[expert]
        val change = if (replicas[expert] > 1) each - shares[expert] / (replicas[expert] - 1) else 0.0
        for (holder in 0 until ranks) if (held[holder][expert]) loads[holder] += if (holder == rank) each else change
    }

    private fun remove(
        rank: Int,
        expert: Int,
    ) {
        val each = shares[expert] / replicas[expert]
        val change = if (replicas[expert] > 1) shares[expert] / (replicas[expert] - 1) - each else 0.0
        for (holder in 0 until ranks) if (held[holder][expert]) loads[holder] += if (holder == rank) -each else change
        replicas[expert] -= 1
        held[rank][expert] = false
        heldCount[rank] -= 1
        if (!before[rank][expert]) newCount[rank] -= 1
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

    private class Step(
        val hottest: Int,
        val target: Int,
        val expert: Int,
        val leaves: Boolean,
        val displaced: Int = NONE,
        val returned: Boolean = false,
    )

    private companion object {
        /** Rounding errors stay below this; shares of a set sum to 1. */
        const val SMALLEST_GAIN = 1e-6
        const val SQUARES_WEIGHT = 0.3
    }
}
