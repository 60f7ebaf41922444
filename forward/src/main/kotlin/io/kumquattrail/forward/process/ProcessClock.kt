package io.kumquattrail.forward.process

import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime

/** Monotonic clock and wall clock of the process. */
object ProcessClock {
    /** Returns the current time on the monotonic clock, which does not advance while the VM is suspended. */
    fun monotonic(): MonotonicTime = MonotonicTime(System.nanoTime())

    /** Returns the current wall-clock time, which can jump forwards and backwards. */
    fun wall(): WallTime = WallTime(System.currentTimeMillis())
}
