package io.kumquattrail.decision.limit

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the retries of a gateway to a fixed share of its fresh requests over a sliding time.
 *
 * One budget covers the whole path: every further attempt of a request draws on it, whatever the reason, and agents
 * make no retries of their own. Attempts are therefore at most `1 + retryShare` times the fresh requests, so retries
 * cannot keep an overload going.
 *
 * @property retryShare retries per fresh request.
 * @property window sliding time over which both are counted.
 * @property leastRetries retries per window that are allowed at any rate, so that a quiet gateway can retry at all.
 */
class RetryBudget(
    private val retryShare: Double = 0.1,
    private val window: Duration = 10.seconds,
    private val leastRetries: Int = 1,
) {
    private val slotNanoseconds = window.inWholeNanoseconds / SLOTS
    private val slots = Array(SLOTS) { Slot() }

    /** Counts a request that a caller sent. */
    fun recordFresh(now: MonotonicTime) {
        slotAt(now).fresh += 1
    }

    /**
     * Tells whether one more attempt is within the budget, and counts it if so.
     *
     * @param leastRetries as the property, for an allowance that changes with the number of gateways.
     * @param retryShare as the property, for an allowance that changes with the settings.
     */
    fun tryRetry(
        now: MonotonicTime,
        leastRetries: Int = this.leastRetries,
        retryShare: Double = this.retryShare,
    ): Boolean {
        val current = slotAt(now)
        val counted = slots.filter { it.index > current.index - SLOTS }
        val allowed = maxOf(leastRetries.toDouble(), retryShare * counted.sumOf { it.fresh })
        if (counted.sumOf { it.retries } + 1 > allowed) return false
        current.retries += 1
        return true
    }

    private fun slotAt(now: MonotonicTime): Slot {
        val index = Math.floorDiv(now.nanoseconds, slotNanoseconds)
        return slots[Math.floorMod(index, SLOTS)].also { slot ->
            if (slot.index != index) {
                slot.index = index
                slot.fresh = 0
                slot.retries = 0
            }
        }
    }

    private class Slot {
        var index = Long.MIN_VALUE
        var fresh = 0L
        var retries = 0L
    }

    private companion object {
        const val SLOTS = 20
    }
}
