package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

// Number of processes that is assumed at least, also when no peer is reachable. Current deployments have at most five
// entry VMs in use and three spare ones, so the parts add up to at most the total even when no process reaches another.
private const val MINIMUM_PROCESSES = 8

/**
 * Splits an allowance of all processes together into equal parts, one per process.
 *
 * Processes do not coordinate the split. Each divides by the largest number of processes that it has recorded within
 * [retention], and by no less than [minimumProcesses], which its settings give at the start. An error therefore makes
 * the part too small, except in a process that has just started in a fleet larger than its settings state.
 */
class SharedAllowance(
    private val retention: Duration = 60.seconds,
    minimumProcesses: Int = MINIMUM_PROCESSES,
) {
    private val processFloor = maxOf(minimumProcesses, MINIMUM_PROCESSES)
    private var largestCount = processFloor
    private var largestCountAt = MonotonicTime(Long.MIN_VALUE)

    /** Number of processes by which allowances are divided. */
    val processes: Int get() = largestCount

    /** Records the current number of processes, this one included. */
    fun recordProcessCount(
        processes: Int,
        now: MonotonicTime,
    ) {
        val count = maxOf(processes, processFloor)
        val isExpired = largestCountAt.nanoseconds == Long.MIN_VALUE || now - largestCountAt > retention
        if (count >= largestCount || isExpired) {
            largestCount = count
            largestCountAt = now
        }
    }

    /** Returns this process's part of [total]. */
    fun partOf(total: Double): Double = total / largestCount
}
