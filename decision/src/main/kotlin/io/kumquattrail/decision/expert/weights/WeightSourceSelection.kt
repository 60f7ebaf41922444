package io.kumquattrail.decision.expert.weights

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape

/**
 * Describes the links over which ranks fetch weights from each other.
 *
 * @property vmBytesPerSecond rate between ranks on the same VM.
 * @property networkBytesPerSecond rate between ranks on different VMs.
 * @property fetchesPerPeer maximum number of fetches that one rank serves at once; more would slow its steps.
 */
data class PeerLinks(
    val vmBytesPerSecond: Double = 100e9,
    val networkBytesPerSecond: Double = 5e9,
    val fetchesPerPeer: Int = 1,
)

/** Selects the source from which a rank fetches weights. */
class WeightSourceSelection(
    private val shape: GroupShape,
    private val links: PeerLinks = PeerLinks(),
) {
    /**
     * Returns the source that delivers [fetch] to [rank] fastest.
     *
     * @param currentMap map in use, which lists the ranks that hold the expert.
     * @param activeFetches number of fetches that each rank is serving.
     * @param unavailable ranks that do not respond or have refused this fetch.
     * @param storeBytesPerSecond rate at which the rank may fetch from the store.
     */
    fun select(
        fetch: WeightFetch,
        rank: Int,
        currentMap: ExpertMap?,
        activeFetches: IntArray,
        unavailable: Set<Int>,
        storeBytesPerSecond: Double,
    ): WeightSource {
        val placement = currentMap?.layers?.get(fetch.layer) ?: return WeightSource.Store
        val peer =
            (0 until shape.ranks)
                .filter { it != rank && it !in unavailable && activeFetches[it] < links.fetchesPerPeer }
                .filter { placement.holds(it, fetch.expert) }
                .maxWithOrNull(compareBy({ rate(rank, it) }, { -activeFetches[it] }, { -distance(rank, it) }))
        return if (peer != null &&
            rate(rank, peer) > storeBytesPerSecond
        ) {
            WeightSource.Peer(peer)
        } else {
            WeightSource.Store
        }
    }

    private fun rate(
        rank: Int,
        peer: Int,
    ): Double = if (vmOf(rank) == vmOf(peer)) links.vmBytesPerSecond else links.networkBytesPerSecond

    private fun vmOf(rank: Int): Int = rank / shape.ranksPerNode

    /**
     * Returns by how many ranks [peer] follows [rank], counted in a circle. Preferring a small distance distributes the
     * fetches of different ranks over the peers that hold an expert.
     */
    private fun distance(
        rank: Int,
        peer: Int,
    ): Int = (peer - rank + shape.ranks) % shape.ranks
}
