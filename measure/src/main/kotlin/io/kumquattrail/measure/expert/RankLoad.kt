package io.kumquattrail.measure.expert

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.weights.FetchDecision
import io.kumquattrail.decision.expert.weights.FetchPriority
import io.kumquattrail.decision.expert.weights.PeerLinks
import io.kumquattrail.decision.expert.weights.WeightFetch
import io.kumquattrail.decision.expert.weights.WeightFetchQueue
import io.kumquattrail.decision.expert.weights.WeightSource
import io.kumquattrail.decision.expert.weights.WeightSourceSelection
import io.kumquattrail.decision.expert.weights.WeightStoreBudget
import io.kumquattrail.decision.expert.weights.WeightStoreSettings
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the time that one rank takes to fetch what a new map needs.
 *
 * @property storeTime part of [time] that the rank spends fetching from the store or waiting for it.
 */
internal class RankLoad(
    val time: Duration,
    val storeTime: Duration,
    val storeFetches: Int,
    val peerFetches: Int,
) {
    companion object {
        private const val GROUPS = 8
        private val REFUSAL_TIME = 5.milliseconds

        /** Fetches through the queue and budget of the product; the store serves [storeFactor] of its published rate. */
        fun of(
            shape: GroupShape,
            before: ExpertMap,
            after: ExpertMap,
            rank: Int,
            storeFactor: Double,
            random: Random,
        ): RankLoad {
            val settings = WeightStoreSettings()
            val links = PeerLinks()
            val budget = WeightStoreBudget(settings)
            val queue = WeightFetchQueue(rank, budget, WeightSourceSelection(shape, links))
            val needed = missing(shape, before, after, rank)
            needed.forEach { queue.add(it) }
            val groupBytes = after.replicasMissingIn(before) * shape.expertBytes
            val ownBytes = needed.size * shape.expertBytes
            var now = MonotonicTime.ZERO
            budget.setShare(GROUPS, ownBytes, groupBytes, now)
            val storeRate = settings.storeBytesPerSecond * storeFactor / GROUPS * ownBytes / maxOf(1L, groupBytes)
            var storeTime = Duration.ZERO
            var storeFetches = 0
            var peerFetches = 0
            while (true) {
                val begun = now
                // Other ranks fetch at the same time, so some peers are busy.
                val busy = IntArray(shape.ranks) { if (random.nextInt(2) == 0) links.fetchesPerPeer else 0 }
                when (val decision = queue.next(before, busy, emptySet(), now)) {
                    is FetchDecision.Idle -> {
                        return RankLoad(now - MonotonicTime.ZERO, storeTime, storeFetches, peerFetches)
                    }

                    is FetchDecision.Wait -> {
                        now += decision.duration
                        storeTime += decision.duration
                    }

                    is FetchDecision.Start -> {
                        val bytes = decision.fetch.bytes
                        val source = decision.source
                        if (source is WeightSource.Peer) {
                            val isNear = source.rank / shape.ranksPerNode == rank / shape.ranksPerNode
                            val rate = if (isNear) links.vmBytesPerSecond else links.networkBytesPerSecond
                            now += (bytes / rate).seconds
                            peerFetches += 1
                        } else if (random.nextDouble() > storeRate / budget.bytesPerSecond) {
                            now += REFUSAL_TIME
                            budget.recordRefusal(bytes, retryAfter = null, now)
                            queue.add(decision.fetch)
                            storeTime += now - begun
                        } else {
                            now += (bytes / minOf(storeRate, links.networkBytesPerSecond)).seconds
                            storeTime += now - begun
                            storeFetches += 1
                        }
                    }
                }
            }
        }

        private fun missing(
            shape: GroupShape,
            before: ExpertMap,
            after: ExpertMap,
            rank: Int,
        ): List<WeightFetch> =
            (0 until shape.layers).flatMap { layer ->
                after.layers[layer]
                    .expertsOf(rank)
                    .filter { !before.layers[layer].holds(rank, it) }
                    .map { WeightFetch(layer, it, shape.expertBytes, FetchPriority.BALANCE) }
            }
    }
}
