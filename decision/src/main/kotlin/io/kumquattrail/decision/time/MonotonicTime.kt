package io.kumquattrail.decision.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Point in time on a process's own monotonic clock.
 *
 * Points of different processes, or of two runs of one process, cannot be compared.
 *
 * @property nanoseconds nanoseconds since an arbitrary origin of this process.
 */
@JvmInline
value class MonotonicTime(
    val nanoseconds: Long,
) : Comparable<MonotonicTime> {
    operator fun plus(duration: Duration): MonotonicTime = MonotonicTime(nanoseconds + duration.inWholeNanoseconds)

    operator fun minus(duration: Duration): MonotonicTime = MonotonicTime(nanoseconds - duration.inWholeNanoseconds)

    operator fun minus(other: MonotonicTime): Duration = (nanoseconds - other.nanoseconds).nanoseconds

    override fun compareTo(other: MonotonicTime): Int = nanoseconds.compareTo(other.nanoseconds)

    companion object {
        /** The clock's origin, which is also the start of virtual time in tests. */
        val ZERO: MonotonicTime = MonotonicTime(0)
    }
}
