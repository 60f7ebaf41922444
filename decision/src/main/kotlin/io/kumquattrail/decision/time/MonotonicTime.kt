package io.kumquattrail.decision.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Reads a process's own monotonic clock.
 *
 * Values of different processes, or of two runs of one process, are not comparable.
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
        /** The origin of virtual time in tests. */
        val ZERO: MonotonicTime = MonotonicTime(0)
    }
}
