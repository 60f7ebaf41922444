package io.kumquattrail.decision.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Point in time on a VM's wall clock.
 *
 * The wall clocks of VMs differ, so use this only where a stated bound on the clock error is taken into account.
 *
 * @property milliseconds milliseconds since 1970-01-01T00:00:00Z.
 */
@JvmInline
value class WallTime(
    val milliseconds: Long,
) : Comparable<WallTime> {
    operator fun plus(duration: Duration): WallTime = WallTime(milliseconds + duration.inWholeMilliseconds)

    operator fun minus(duration: Duration): WallTime = WallTime(milliseconds - duration.inWholeMilliseconds)

    operator fun minus(other: WallTime): Duration = (milliseconds - other.milliseconds).milliseconds

    override fun compareTo(other: WallTime): Int = milliseconds.compareTo(other.milliseconds)
}
