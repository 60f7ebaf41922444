package io.kumquattrail.node.clock

import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime

/** Reads the time of this process. Tests replace it by virtual time. */
interface Clock {
    fun monotonic(): MonotonicTime

    fun wall(): WallTime
}

/** Reads the clocks of the operating system. */
object SystemClock : Clock {
    override fun monotonic(): MonotonicTime = MonotonicTime(System.nanoTime())

    override fun wall(): WallTime = WallTime(System.currentTimeMillis())
}
