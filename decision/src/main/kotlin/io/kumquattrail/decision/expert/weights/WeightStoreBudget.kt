package io.kumquattrail.decision.expert.weights

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Holds the settings of a [WeightStoreBudget].
 *
 * @property storeBytesPerSecond rate that the store serves to all groups together.
 * @property burst time for which unused rate is saved.
 * @property refusalFactor factor by which a refusal lowers the rate.
 * @property recovery time in which the rate recovers from 0 to the full share.
 * @property rateFloor lowest part of the share that refusals leave, so that a rank still notices a recovered store.
 */
data class WeightStoreSettings(
    val storeBytesPerSecond: Double = 20e9,
    val burst: Duration = 1.seconds,
    val refusalFactor: Double = 0.5,
    val recovery: Duration = 60.seconds,
    val rateFloor: Double = 0.02,
)

/**
 * Limits what one rank fetches from the weight store that all groups share.
 *
 * Nobody writes shared state: each group takes an equal part of the store's rate, as the published groups are known to
 * all, and each rank takes the part of it that its fetches have among those of its group, which follows from the old and
 * the new map. Where that is still too much, because the store is slower than published or others do not follow the
 * rule, its refusals lower the rate.
 */
class WeightStoreBudget(
    private val settings: WeightStoreSettings = WeightStoreSettings(),
) {
    private var share = 0.0
    private var factor = 1.0
    private var saved = 0.0
    private var updated: MonotonicTime? = null
    private var blockedUntil = MonotonicTime.ZERO

    /** Rate that this rank may use, in bytes a second. */
    val bytesPerSecond: Double get() = settings.storeBytesPerSecond * share * factor

    /** Sets this rank's share, for [groups] published groups and [ownBytes] of the [groupBytes] that its group fetches. */
    fun setShare(
        groups: Int,
        ownBytes: Long,
        groupBytes: Long,
        now: MonotonicTime,
    ) {
        advance(now)
        share = if (groupBytes == 0L) 0.0 else ownBytes.toDouble() / groupBytes / max(1, groups)
    }

    /**
     * Takes [bytes] out of the budget. Returns `null` when the fetch may start, or the time to wait before asking again.
     *
     * A fetch that is larger than the saved rate starts when the budget is not in debt, and the debt delays the next one.
     */
    fun take(
        bytes: Long,
        now: MonotonicTime,
    ): Duration? {
        advance(now)
        if (now < blockedUntil) return blockedUntil - now
        val rate = bytesPerSecond
        if (rate <= 0) return settings.burst
        if (saved < 0) return max(-saved / rate, SHORTEST_WAIT_SECONDS).seconds
        saved -= bytes
        return null
    }

    /** Notes that the store refused a fetch of [bytes], which does not count, until [retryAfter] where it said so. */
    fun refused(
        bytes: Long,
        retryAfter: Duration?,
        now: MonotonicTime,
    ) {
        advance(now)
        factor = max(settings.rateFloor, factor * settings.refusalFactor)
        saved = min(saved + bytes, 0.0)
        if (retryAfter != null) blockedUntil = maxOf(blockedUntil, now + retryAfter)
    }

    private fun advance(now: MonotonicTime) {
        val last = updated
        updated = now
        if (last == null) return
        val elapsed = max(0.0, (now - last).toDouble(DurationUnit.SECONDS))
        saved = min(saved + bytesPerSecond * elapsed, bytesPerSecond * settings.burst.toDouble(DurationUnit.SECONDS))
        factor = min(1.0, factor + elapsed / settings.recovery.toDouble(DurationUnit.SECONDS))
    }

    private companion object {
        const val SHORTEST_WAIT_SECONDS = 0.001
    }
}
