package io.kumquattrail.decision.expert.weights

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration

/** Next action of a rank on its queued fetches. */
sealed interface FetchDecision {
    /** Starts [fetch] from [source]. */
    data class Start(
        val fetch: WeightFetch,
        val source: WeightSource,
    ) : FetchDecision

    /** Starts no fetch and asks again after [duration]. */
    data class Wait(
        val duration: Duration,
    ) : FetchDecision

    /** Does nothing, as no fetch is queued. */
    data object Idle : FetchDecision
}

/** Orders the fetches of one rank by priority and selects a source for each. */
class WeightFetchQueue(
    private val rank: Int,
    private val budget: WeightStoreBudget,
    private val selection: WeightSourceSelection,
) {
    private val queue = mutableListOf<WeightFetch>()

    /** Number of queued fetches. */
    val size: Int get() = queue.size

    /** Adds [fetch], or replaces the entry for the same weights if that has a lower priority. */
    fun add(fetch: WeightFetch) {
        val index = queue.indexOfFirst { it.layer == fetch.layer && it.expert == fetch.expert }
        when {
            index < 0 -> queue += fetch
            fetch.priority < queue[index].priority -> queue[index] = fetch
        }
    }

    /** Removes the fetches that only improve the balance of load, such as when a map change is aborted. */
    fun cancelBalance() {
        queue.removeAll { it.priority == FetchPriority.BALANCE }
    }

    /** Returns the next fetch to start. A fetch of lower priority never starts before one of higher priority. */
    fun next(
        currentMap: ExpertMap?,
        activeFetches: IntArray,
        unavailable: Set<Int>,
        now: MonotonicTime,
    ): FetchDecision {
        val fetch = queue.minByOrNull { it.priority } ?: return FetchDecision.Idle
        val source = selection.select(fetch, rank, currentMap, activeFetches, unavailable, budget.bytesPerSecond)
        if (source is WeightSource.Store) budget.take(fetch.bytes, now)?.let { return FetchDecision.Wait(it) }
        queue.remove(fetch)
        return FetchDecision.Start(fetch, source)
    }
}
