package io.kumquattrail.decision.expert.replica

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet

/**
 * Assignment of experts to the ranks of a group, by set of layers. The tokens of an expert are divided evenly between
 * the ranks that hold it.
 *
 * @property sets experts by set and rank.
 */
data class ReplicaMap(
    val sets: ImmutableList<ImmutableList<ImmutableSet<Int>>>,
) {
    /** Number of ranks. */
    val ranks: Int get() = sets.firstOrNull()?.size ?: 0

    /** Returns the number of experts that each rank has to load to change from [previous] to this map. */
    fun copiesAfter(previous: ReplicaMap): List<Int> =
        (0 until ranks).map { rank -> sets.indices.sumOf { set -> (sets[set][rank] - previous.sets[set][rank]).size } }

    /** Returns the ratio of the highest rank load to the mean for [popularity], averaged over the sets. */
    fun imbalance(popularity: ExpertPopularity): Double =
        sets.indices
            .map { set ->
                SetLoads(popularity.fractions[set], sets[set]).let { it.highest / it.mean }
            }.average()
}

/**
 * How often each expert is chosen.
 *
 * @property fractions fraction of the choices by set and expert; the fractions of a set sum to 1.
 */
class ExpertPopularity(
    val fractions: List<DoubleArray>,
)

/** Loads of the ranks in one set of layers, as fractions of the choices in the set. */
internal class SetLoads(
    private val fractions: DoubleArray,
    ranks: List<Set<Int>>,
) {
    private val replicaCounts =
        IntArray(fractions.size).also { counts ->
            ranks.forEach { held -> held.forEach { counts[it] += 1 } }
        }
    private val loads = DoubleArray(ranks.size) { rank -> ranks[rank].sumOf { fractions[it] / replicaCounts[it] } }

    /** Load of the most loaded rank. */
    val highest: Double get() = loads.maxOrNull() ?: 0.0

    /** Mean load of the ranks, never zero. */
    val mean: Double get() = if (loads.isEmpty()) 1.0 else maxOf(loads.average(), Double.MIN_VALUE)
}
