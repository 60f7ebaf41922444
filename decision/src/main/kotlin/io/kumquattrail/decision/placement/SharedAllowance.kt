package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

// Processes that a process assumes at least, also when it knows of none. Deployments of today have five or fewer entry
// VMs in use and up to three spare ones, so the sum over all stays below the whole even when nobody sees anybody.
private const val LEAST_PROCESSES = 8

/**
 * Splits an allowance that holds for all processes together by their number.
 *
 * Processes do not agree on the split. Each takes its part of the largest number of processes that it has seen within
 * [memory], and of [leastProcesses], which it knows from its settings at the start. A wrong view so errs on the small
 * side, except in a process that has just started in a fleet larger than its settings tell.
 */
class SharedAllowance(
    private val memory: Duration = 60.seconds,
    leastProcesses: Int = LEAST_PROCESSES,
) {
    private val least = maxOf(leastProcesses, LEAST_PROCESSES)
    private var most = least
    private var mostSeenAt = MonotonicTime(Long.MIN_VALUE)

    /** Number of processes by which allowances are divided. */
    val processes: Int get() = most

    /** Takes in the number of processes that this process knows now, itself included. */
    fun seen(
        processes: Int,
        now: MonotonicTime,
    ) {
        val present = maxOf(processes, least)
        val forgotten = mostSeenAt.nanoseconds == Long.MIN_VALUE || now - mostSeenAt > memory
        if (present >= most || forgotten) {
            most = present
            mostSeenAt = now
        }
    }

    /** Returns this process's part of [total]. */
    fun partOf(total: Double): Double = total / most
}
