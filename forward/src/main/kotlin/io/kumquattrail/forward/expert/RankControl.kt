package io.kumquattrail.forward.expert

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.OrderResponse
import io.kumquattrail.decision.expert.replica.RankChoices
import io.kumquattrail.decision.expert.replica.RankOrder
import io.kumquattrail.decision.expert.replica.RankState
import io.kumquattrail.decision.route.EngineGroupFigures

/**
 * The experts that a rank holds and the versions of its maps.
 *
 * @property mapVersion version of the map that the rank uses.
 * @property preparedVersion version of the map whose experts the rank has copied completely; `null` for none.
 * @property experts experts that the rank holds, by layer set.
 */
data class RankHoldings(
    val epoch: Long,
    val mapVersion: Long,
    val preparedVersion: Long?,
    val experts: List<Set<Int>>,
) {
    /** Returns whether the experts are a possible placement in a group with these [figures]. */
    fun isPossible(figures: EngineGroupFigures): Boolean =
        experts.size == figures.layerSets && experts.all { set -> set.all { it in 0 until figures.experts } }
}

/**
 * Reads the state of the ranks of groups and sends them orders.
 *
 * When a rank does not respond, a read returns `null` and an order returns [OrderResponse.UNKNOWN].
 */
interface RankControl {
    /** Returns the state that [server] reports, which lags by some hundred milliseconds. */
    suspend fun state(server: BackendServer): RankState?

    /** Returns how often each expert was chosen at [server]. */
    suspend fun choices(
        server: BackendServer,
        figures: EngineGroupFigures,
    ): RankChoices?

    /** Returns the experts that [server] holds. */
    suspend fun holdings(server: BackendServer): RankHoldings?

    /**
     * Sends [order] to [server].
     *
     * @param epoch epoch of the formation that the order is meant for.
     * @param fence fencing number of the sender.
     */
    suspend fun order(
        server: BackendServer,
        order: RankOrder,
        epoch: Long,
        fence: Long,
    ): OrderResponse
}
