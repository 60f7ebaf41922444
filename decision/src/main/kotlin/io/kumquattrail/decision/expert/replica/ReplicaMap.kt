package io.kumquattrail.decision.expert.replica

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet

/**
 * Says which experts each rank of a group holds, by set of layers. Ranks that hold the same expert share its tokens
 * evenly.
 *
 * @property sets experts by set and rank.
 */
data class ReplicaMap(
    val sets: ImmutableList<ImmutableList<ImmutableSet<Int>>>,
) {
    /** Number of ranks. */
    val ranks: Int get() = sets.firstOrNull()?.size ?: 0

    /** Returns the number of experts that each rank has to load to use this map after [before]. */
    fun copiesAfter(before: ReplicaMap): List<Int> =
        (0 until ranks).map { rank -> sets.indices.sumOf { set -> (sets[set][rank] - before.sets[set][rank]).size } }

    /** Returns the load of the most loaded rank against the mean, averaged over the sets, for [popularity]. */
    fun imbalance(popularity: ExpertPopularity): Double =
        sets.indices.map { set -> SetLoads(popularity.shares[set], sets[set]).let { it.highest / it.mean } }.average()
}

/**
 * Says how often each expert is chosen.
 *
 * @property shares share of the choices by set and expert; the shares of a set sum to 1.
 */
class ExpertPopularity(
    val shares: List<DoubleArray>,
)

/** Loads of the ranks in one set. */
internal class SetLoads(
    private val shares: DoubleArray,
    ranks: List<Set<Int>>,
) {
    private val replicas =
        IntArray(shares.size).also { counts ->
            ranks.forEach { held -> held.forEach { counts[it] += 1 } }
        }
    private val loads = DoubleArray(ranks.size) { rank -> ranks[rank].sumOf { shares[it] / replicas[it] } }

    /** Load of the most loaded rank. */
    val highest: Double get() = loads.maxOrNull() ?: 0.0

    /** Mean load. */
    val mean: Double get() = if (loads.isEmpty()) 1.0 else maxOf(loads.average(), Double.MIN_VALUE)
}
