package io.kumquattrail.decision.routing

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.RendezvousHash

/**
 * Bounds the servers with which a gateway deals.
 *
 * @property size servers in total; all servers when there are no more than this.
 * @property minimumPerZone servers in service that each availability zone contributes if it has as many, so that one
 *   zone's leaving never leaves the gateway without choice.
 */
data class ServerSubset(
    val size: Int = 96,
    val minimumPerZone: Int = 16,
) {
    /**
     * Chooses the subset of [targets] for [gateway].
     *
     * The choice depends only on its arguments and changes little when servers come and go. Servers out of service do
     * not take a place of the subset.
     */
    fun choose(
        gateway: ProcessName,
        targets: List<RoutingTarget>,
    ): List<RoutingTarget> {
        if (targets.size <= size) return targets
        val ranked = RendezvousHash.rank(gateway.value, targets.filter { it.inService }) { it.name.value }
        val guaranteed = ranked.groupBy { it.zone }.values.flatMap { it.take(minimumPerZone) }
        val names = guaranteed.mapTo(HashSet()) { it.name }
        val rest = ranked.filterNot { it.name in names }.take((size - guaranteed.size).coerceAtLeast(0))
        return guaranteed + rest
    }
}
