package io.kumquattrail.forward.process

import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime

/** Reads the clocks of the process. */
object ProcessClock {
    /** Returns the present time on the monotonic clock, which stands still while the VM is suspended. */
    fun monotonic(): MonotonicTime = MonotonicTime(System.nanoTime())

    /** Returns the present wall time, which can jump. */
    fun wall(): WallTime = WallTime(System.currentTimeMillis())
}
