package io.kumquattrail.decision.expert

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList
import kotlin.math.abs

private const val SHARE_TOLERANCE = 1e-6

/** Places the experts of every layer of a group. Instances are immutable. */
data class ExpertMap(
    val layers: ImmutableList<LayerPlacement>,
) {
    /** Returns the number of replicas that ranks have to load before they can run this map instead of [previous]. */
    fun replicasMissingIn(previous: ExpertMap): Int =
        layers.indices.sumOf { layers[it].replicasMissingIn(previous.layers[it]) }

    /** Returns the number of replicas that [rank] has to load before it can run this map instead of [previous]. */
    fun replicasMissingIn(
        previous: ExpertMap?,
        rank: Int,
    ): Int =
        layers.indices.sumOf { layer ->
            layers[layer].expertsOf(rank).count { previous == null || !previous.layers[layer].holds(rank, it) }
        }

    /** Returns a copy of this map with [placement] in [layer]. */
    fun with(
        layer: Int,
        placement: LayerPlacement,
    ): ExpertMap = copy(layers = layers.toPersistentList().set(layer, placement))

    /** Checks that every layer places each of [experts] experts and that the shares of each expert sum to 1. */
    fun check(experts: Int): Result<Unit, MapFault> {
        layers.forEachIndexed { layer, placement ->
            val sums = DoubleArray(experts)
            for (slot in 0 until placement.slots) {
                val expert = placement.expertAt(slot)
                if (expert == LayerPlacement.EMPTY) continue
                if (expert !in 0 until experts) return Err(MapFault.UnknownExpert(layer, expert))
                if (placement.shareAt(slot) <
                    0
                ) {
                    return Err(MapFault.WrongShares(layer, expert, placement.shareAt(slot)))
                }
                sums[expert] += placement.shareAt(slot)
            }
            val invalid = sums.indices.find { abs(sums[it] - 1) > SHARE_TOLERANCE }
            if (invalid != null) return Err(MapFault.WrongShares(layer, invalid, sums[invalid]))
        }
        return Ok(Unit)
    }
}

/** Says why an expert map cannot be used. */
sealed interface MapFault {
    /** The map places an expert that the group does not have. */
    data class UnknownExpert(
        val layer: Int,
        val expert: Int,
    ) : MapFault

    /**
     * The shares of an expert's replicas do not sum to 1, so tokens would be lost or served twice, or one of the shares
     * is negative.
     *
     * @property sum sum of the shares, or the negative share.
     */
    data class WrongShares(
        val layer: Int,
        val expert: Int,
        val sum: Double,
    ) : MapFault
}
