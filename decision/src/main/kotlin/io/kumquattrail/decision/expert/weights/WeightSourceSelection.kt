package io.kumquattrail.decision.expert.weights

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape

/**
 * Holds the rates at which ranks pass weights to each other.
 *
 * @property nodeBytesPerSecond rate between ranks of one node.
 * @property networkBytesPerSecond rate between ranks of different nodes.
 * @property fetchesPerPeer fetches that one rank serves at once; more would slow its steps.
 */
data class PeerLinks(
    val nodeBytesPerSecond: Double = 100e9,
    val networkBytesPerSecond: Double = 5e9,
    val fetchesPerPeer: Int = 1,
)

/** Selects where a rank fetches weights from. */
class WeightSourceSelection(
    private val shape: GroupShape,
    private val links: PeerLinks = PeerLinks(),
) {
    /**
     * Returns the source that delivers [fetch] to [rank] first.
     *
     * @param present map in use, which names the ranks that hold the expert.
     * @param busy fetches that each rank serves already.
     * @param unavailable ranks that do not answer, or that have refused this fetch.
     * @param storeBytesPerSecond rate that the rank may use at the store.
     */
    fun select(
        fetch: WeightFetch,
        rank: Int,
        present: ExpertMap?,
        busy: IntArray,
        unavailable: Set<Int>,
        storeBytesPerSecond: Double,
    ): WeightSource {
        val placement = present?.layers?.get(fetch.layer) ?: return WeightSource.Store
        val peer =
            (0 until shape.ranks)
                .filter { it != rank && it !in unavailable && busy[it] < links.fetchesPerPeer }
                .filter { placement.holds(it, fetch.expert) }
                .maxWithOrNull(compareBy({ rate(rank, it) }, { -busy[it] }, { -distance(rank, it) }))
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
    ): Double = if (node(rank) == node(peer)) links.nodeBytesPerSecond else links.networkBytesPerSecond

    private fun node(rank: Int): Int = rank / shape.ranksPerNode

    /** Spreads the requests of different ranks over the peers that hold an expert. */
    private fun distance(
        rank: Int,
        peer: Int,
    ): Int = (peer - rank + shape.ranks) % shape.ranks
}
