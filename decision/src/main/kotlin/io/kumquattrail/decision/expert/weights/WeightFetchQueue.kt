package io.kumquattrail.decision.expert.weights

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration

/** Says what a rank does next about the weights that it needs. */
sealed interface FetchDecision {
    /** Starts [fetch] from [source]. */
    data class Start(
        val fetch: WeightFetch,
        val source: WeightSource,
    ) : FetchDecision

    /** Asks again after [duration]. */
    data class Wait(
        val duration: Duration,
    ) : FetchDecision

    /** Nothing is needed. */
    data object Idle : FetchDecision
}

/** Orders the fetches of one rank by priority and selects a source for each. */
class WeightFetchQueue(
    private val rank: Int,
    private val budget: WeightStoreBudget,
    private val selection: WeightSourceSelection,
) {
    private val waiting = mutableListOf<WeightFetch>()

    /** Number of fetches that wait. */
    val size: Int get() = waiting.size

    /** Adds [fetch]. The same weights in a higher priority replace an entry in a lower one. */
    fun add(fetch: WeightFetch) {
        val index = waiting.indexOfFirst { it.layer == fetch.layer && it.expert == fetch.expert }
        when {
            index < 0 -> waiting += fetch
            fetch.priority < waiting[index].priority -> waiting[index] = fetch
        }
    }

    /** Removes what is only needed for a better balance, such as when a change is aborted. */
    fun cancelBalance() {
        waiting.removeAll { it.priority == FetchPriority.BALANCE }
    }

    /** Returns the next fetch to start. A fetch of lower priority never starts before one of higher priority. */
    fun next(
        present: ExpertMap?,
        busy: IntArray,
        unavailable: Set<Int>,
        now: MonotonicTime,
    ): FetchDecision {
        val fetch = waiting.minByOrNull { it.priority } ?: return FetchDecision.Idle
        val source = selection.select(fetch, rank, present, busy, unavailable, budget.bytesPerSecond)
        if (source is WeightSource.Store) budget.take(fetch.bytes, now)?.let { return FetchDecision.Wait(it) }
        waiting.remove(fetch)
        return FetchDecision.Start(fetch, source)
    }
}
