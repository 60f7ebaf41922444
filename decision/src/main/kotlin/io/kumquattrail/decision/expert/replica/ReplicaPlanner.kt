package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.route.EngineGroupFigures
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limits of one plan.
 *
 * @property placementsPerRank largest number of experts that a rank holds, per set of layers.
 * @property newExpertsPerSet largest number of experts that a rank can load in one map switch, per set.
 * @property copiesPerRank largest number of experts that a rank loads in one map switch, over all sets. A rank copies
 *   experts one after another, so this limits the time until the new map takes effect.
 * @property leastGainPerCopy reduction of the highest load that is worth a copy, as a fraction of the mean load.
 * @property improvementsPerSet largest number of improvements to search for, per set; this limits the planning time.
 */
data class ReplicaLimits(
    val placementsPerRank: Int,
    val newExpertsPerSet: Int,
    val copiesPerRank: Int = 2,
    val leastGainPerCopy: Double = 0.02,
    val improvementsPerSet: Int = 200,
) {
    companion object {
        /** Time for which callers tolerate an unsuitable map; one map switch makes the copies that fit into it. */
        private val LONGEST_COPY_TIME = 250.milliseconds

        private const val LEAST_COPIES = 2

        /** Copies of a rank with a very fast link; more copies gain little for their cost. */
        private const val MOST_COPIES = 6

        /**
         * Returns the limits of a group with [figures].
         *
         * Load pattern: popularity shifts every few seconds. The orders and the reading of counts cost the same for
         * every map switch, however many experts it copies. A rank with a fast link therefore copies all experts that
         * the shift requires in one map switch.
         */
        fun of(figures: EngineGroupFigures): ReplicaLimits {
            val copies = if (figures.copyTime.isPositive()) LONGEST_COPY_TIME / figures.copyTime else 0.0
            return ReplicaLimits(
                placementsPerRank = figures.placementsPerRank,
                newExpertsPerSet = figures.sparePlacements,
                copiesPerRank = copies.toInt().coerceIn(LEAST_COPIES, MOST_COPIES),
            )
        }
    }
}

/**
 * Plans an expert map for the popularity of experts by changes to the current map.
 *
 * Load pattern: the popularity of experts shifts every few seconds, and all ranks wait for the most loaded one in every
 * set of layers. The planner relieves the most loaded rank of a set in a greedy search: each improvement adds a replica
 * of an expert to another rank, moves an expert there or swaps two experts, whichever leaves the lowest loads. The
 * search ends when no further change is worth its copies. Sets with the highest load are planned first, because the
 * copies of a rank are limited.
 */
class ReplicaPlanner(
    private val limits: ReplicaLimits,
) {
    /** Returns the improved map for [popularity], or a map equal to [current] if no copy is worth its cost. */
    fun plan(
        current: ReplicaMap,
        popularity: ExpertPopularity,
    ): ReplicaMap {
        val copiesLeft = IntArray(current.ranks) { limits.copiesPerRank }
        val order =
            current.sets.indices.sortedByDescending { SetLoads(popularity.fractions[it], current.sets[it]).highest }
        val planned = current.sets.toMutableList()
        order.forEach { set ->
            planned[set] = SetPlan(current.sets[set], popularity.fractions[set], limits, copiesLeft).improvedPlacement()
        }
        return ReplicaMap(planned.toImmutableList())
    }
}

private const val NO_EXPERT = -1

/** Search for the placement of one set of layers. It subtracts the copies that it uses from [copiesLeft]. */
private class SetPlan(
    current: List<Set<Int>>,
    private val fractions: DoubleArray,
    private val limits: ReplicaLimits,
    private val copiesLeft: IntArray,
) {
    private val ranks = current.size
    private val initiallyHeld = Array(ranks) { rank -> BooleanArray(fractions.size) { it in current[rank] } }
    private val held = Array(ranks) { initiallyHeld[it].copyOf() }
    private val heldCounts = IntArray(ranks) { current[it].size }
    private val newCounts = IntArray(ranks)
    private val replicaCounts = IntArray(fractions.size) { expert -> held.count { it[expert] } }
    private val loads = DoubleArray(ranks) { rank -> current[rank].sumOf { fractions[it] / replicaCounts[it] } }
    private val leastGain = limits.leastGainPerCopy * loads.average()

    // The best candidate so far, in plain fields because a plan evaluates many thousands of candidates.
    private var bestCost = 0.0
    private var bestChange: PlacementChange? = null

    fun improvedPlacement() =
        run {
            var improvements = 0
            while (improvements < limits.improvementsPerSet && relieveMostLoaded()) improvements += 1
            for (rank in 0 until ranks) copiesLeft[rank] -= newCounts[rank]
            held.map { experts -> experts.indices.filter { experts[it] }.toImmutableSet() }.toImmutableList()
        }

    private fun relieveMostLoaded(): Boolean {
        var source = 0
        for (rank in 1 until ranks) if (loads[rank] > loads[source]) source = rank
        bestChange = null
        bestCost = cost()
        for (expert in fractions.indices) {
            if (!held[source][expert]) continue
            for (receiver in 0 until ranks) {
                if (!held[receiver][expert] && loads[receiver] < loads[source]) tryReceiver(source, expert, receiver)
            }
        }
        apply(bestChange ?: return false)
        return true
    }

    /**
     * Evaluates bringing [expert] from [source], the most loaded rank, to [receiver]: as a further replica or by a
     * move, into a free place or in place of another expert, or by a swap with an expert that [source] lacks.
     */
    private fun tryReceiver(
        source: Int,
        expert: Int,
        receiver: Int,
    ) {
        if (heldCounts[receiver] < limits.placementsPerRank) {
            evaluate(PlacementChange(source, receiver, expert, isMove = false))
            evaluate(PlacementChange(source, receiver, expert, isMove = true))
        }
        for (displaced in fractions.indices) {
            if (!held[receiver][displaced]) continue
            if (replicaCounts[displaced] > 1) {
                evaluate(PlacementChange(source, receiver, expert, isMove = false, displaced = displaced))
                evaluate(PlacementChange(source, receiver, expert, isMove = true, displaced = displaced))
            }
            if (!held[source][displaced]) {
                evaluate(PlacementChange(source, receiver, expert, isMove = true, displaced = displaced, isSwap = true))
            }
        }
    }

    private fun evaluate(candidate: PlacementChange) {
        val copiesBefore = newCounts[candidate.receiver] + newCounts[candidate.source]
        apply(candidate)
        val copies = newCounts[candidate.receiver] + newCounts[candidate.source] - copiesBefore
        val cost = cost() + leastGain * maxOf(copies, 0)
        val isAllowed = isWithinLimits(candidate.receiver) && isWithinLimits(candidate.source)
        undo(candidate)
        if (isAllowed && cost < bestCost - SMALLEST_GAIN) {
            bestCost = cost
            bestChange = candidate
        }
    }

    private fun isWithinLimits(rank: Int): Boolean =
        newCounts[rank] <= limits.newExpertsPerSet && newCounts[rank] <= copiesLeft[rank]

    private fun apply(candidate: PlacementChange) {
        add(candidate.receiver, candidate.expert)
        if (candidate.displaced != NO_EXPERT) remove(candidate.receiver, candidate.displaced)
        if (candidate.isMove) remove(candidate.source, candidate.expert)
        if (candidate.isSwap) add(candidate.source, candidate.displaced)
    }

    private fun undo(candidate: PlacementChange) {
        if (candidate.isSwap) remove(candidate.source, candidate.displaced)
        if (candidate.isMove) add(candidate.source, candidate.expert)
        if (candidate.displaced != NO_EXPERT) add(candidate.receiver, candidate.displaced)
        remove(candidate.receiver, candidate.expert)
    }

    private fun add(
        rank: Int,
        expert: Int,
    ) {
        held[rank][expert] = true
        heldCounts[rank] += 1
        if (!initiallyHeld[rank][expert]) newCounts[rank] += 1
        replicaCounts[expert] += 1
        val load = fractions[expert] / replicaCounts[expert]
        val change = if (replicaCounts[expert] > 1) load - fractions[expert] / (replicaCounts[expert] - 1) else 0.0
        for (holder in 0 until ranks) if (held[holder][expert]) loads[holder] += if (holder == rank) load else change
    }

    private fun remove(
        rank: Int,
        expert: Int,
    ) {
        val load = fractions[expert] / replicaCounts[expert]
        val change = if (replicaCounts[expert] > 1) fractions[expert] / (replicaCounts[expert] - 1) - load else 0.0
        for (holder in 0 until ranks) if (held[holder][expert]) loads[holder] += if (holder == rank) -load else change
        replicaCounts[expert] -= 1
        held[rank][expert] = false
        heldCounts[rank] -= 1
        if (!initiallyHeld[rank][expert]) newCounts[rank] -= 1
    }

    // The highest load dominates; the weighted squares favour placements that make further improvements possible.
    private fun cost(): Double {
        var highest = 0.0
        var squares = 0.0
        for (load in loads) {
            if (load > highest) highest = load
            squares += load * load
        }
        return highest + SQUARES_WEIGHT * squares
    }

    /**
     * Addition of [expert], which [source] holds, to [receiver].
     *
     * @property isMove whether [source] gives up [expert]; otherwise it keeps its replica.
     * @property displaced expert that [receiver] gives up in return, or [NO_EXPERT]. Unless [isSwap], other ranks hold
     *   it, too.
     * @property isSwap whether [source] takes over [displaced].
     */
    private class PlacementChange(
        val source: Int,
        val receiver: Int,
        val expert: Int,
        val isMove: Boolean,
        val displaced: Int = NO_EXPERT,
        val isSwap: Boolean = false,
    )

    private companion object {
        /** Larger than the rounding errors of the cost, as the fractions of a set sum to 1. */
        const val SMALLEST_GAIN = 1e-6
        const val SQUARES_WEIGHT = 0.3
    }
}
