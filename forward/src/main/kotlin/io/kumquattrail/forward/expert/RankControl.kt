package io.kumquattrail.forward.expert

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.OrderAnswer
import io.kumquattrail.decision.expert.replica.RankChoices
import io.kumquattrail.decision.expert.replica.RankOrder
import io.kumquattrail.decision.expert.replica.RankState
import io.kumquattrail.decision.route.EngineGroupFigures

/**
 * The map that a rank uses.
 *
 * @property preparedVersion version whose experts the rank has copied completely; `null` for none.
 * @property experts experts that the rank holds, by set.
 */
class RankHoldings(
    val epoch: Long,
    val mapVersion: Long,
    val preparedVersion: Long?,
    val experts: List<Set<Int>>,
)

/** Reads and orders the ranks of groups. Every call returns `null` or an unknown answer when the rank gives none. */
interface RankControl {
    /** Returns what [server] reports of itself, as of some hundred milliseconds ago. */
    suspend fun state(server: BackendServer): RankState?

    /** Returns how often each expert was chosen at [server]. */
    suspend fun choices(
        server: BackendServer,
        figures: EngineGroupFigures,
    ): RankChoices?

    /** Returns the map that [server] uses. */
    suspend fun holdings(server: BackendServer): RankHoldings?

    /**
     * Sends [order] to [server].
     *
     * @param epoch formation of the group that the order is meant for.
     * @param fence fencing number of the sender.
     */
    suspend fun order(
        server: BackendServer,
        order: RankOrder,
        epoch: Long,
        fence: Long,
    ): OrderAnswer
}
