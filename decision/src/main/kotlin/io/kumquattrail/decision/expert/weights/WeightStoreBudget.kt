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
 * @property burst time for which unused rate accumulates. A rank without a share also waits so long before it asks
 *   again.
 * @property refusalFactor factor by which a refusal multiplies the rate.
 * @property recovery time in which the rate recovers from 0 to the full share.
 * @property minimumRateFactor lowest fraction of the share that refusals leave, so that a rank still detects a
 *   recovered store.
 */
data class WeightStoreSettings(
    val storeBytesPerSecond: Double = 20e9,
    val burst: Duration = 1.seconds,
    val refusalFactor: Double = 0.5,
    val recovery: Duration = 60.seconds,
    val minimumRateFactor: Double = 0.02,
)

/**
 * Limits the rate at which one rank fetches from the weight store that all groups share.
 *
 * Ranks divide the rate without shared mutable state. Each group gets an equal part, as every rank has the list of
 * published groups. Each rank gets a part of that in proportion to the bytes that it fetches, which follow from the old
 * and the new map. If the resulting rate is still too high, because the store is slower than published or other ranks
 * exceed their part, refusals by the store lower it.
 */
class WeightStoreBudget(
    private val settings: WeightStoreSettings = WeightStoreSettings(),
) {
    /** Fraction of the store's rate. */
    private var share = 0.0

    /** Fraction of [share] that refusals leave. */
    private var rateFactor = 1.0

    /** Bytes that may be fetched at once; a negative value is a debt. */
    private var credit = 0.0
    private var lastUpdate: MonotonicTime? = null
    private var blockedUntil = MonotonicTime.ZERO

    /** Rate at which this rank may fetch, in bytes per second. */
    val bytesPerSecond: Double get() = settings.storeBytesPerSecond * share * rateFactor

    /** Sets this rank's share, given the number of [groups], and [ownBytes] of its group's [groupBytes] to fetch. */
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
     * Takes [bytes] from the budget. Returns `null` if the fetch may start, or the time to wait before asking again.
     *
     * A fetch that exceeds the credit starts if the credit is not negative, and the resulting debt delays the next one.
     */
    fun take(
        bytes: Long,
        now: MonotonicTime,
    ): Duration? {
        advance(now)
        if (now < blockedUntil) return blockedUntil - now
        val rate = bytesPerSecond
        // The rank has no share before the first call of [setShare], and while it has nothing to fetch.
        if (rate <= 0) return settings.burst
        if (credit < 0) return max(-credit / rate, SHORTEST_WAIT_SECONDS).seconds
        credit -= bytes
        return null
    }

    /**
     * Records that the store refused a fetch of [bytes], which lowers the rate. The bytes reduce a debt but add no
     * credit. If the store sent [retryAfter], no fetch from it starts before that time has passed.
     */
    fun recordRefusal(
        bytes: Long,
        retryAfter: Duration?,
        now: MonotonicTime,
    ) {
        advance(now)
        rateFactor = max(settings.minimumRateFactor, rateFactor * settings.refusalFactor)
        credit = min(credit + bytes, 0.0)
        if (retryAfter != null) blockedUntil = maxOf(blockedUntil, now + retryAfter)
    }

    private fun advance(now: MonotonicTime) {
        val previousUpdate = lastUpdate
        lastUpdate = now
        if (previousUpdate == null) return
        val elapsed = max(0.0, (now - previousUpdate).toDouble(DurationUnit.SECONDS))
        credit = min(credit + bytesPerSecond * elapsed, bytesPerSecond * settings.burst.toDouble(DurationUnit.SECONDS))
        rateFactor = min(1.0, rateFactor + elapsed / settings.recovery.toDouble(DurationUnit.SECONDS))
    }

    private companion object {
        const val SHORTEST_WAIT_SECONDS = 0.001
    }
}
