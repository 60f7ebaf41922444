package io.kumquattrail.decision.warning

import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.time.MonotonicTime

/** Decides at one process when operators are warned. An instance is used by one thread at a time. */
interface WarningPolicy {
    /** Replaces the number of processes that serve traffic, this one included. */
    fun updateProcesses(count: Int)

    /** Counts requests that this process saw. */
    fun recordServiceLevel(
        sample: ServiceLevelSample,
        now: MonotonicTime,
    )

    /** Takes in proof of a violated guarantee. */
    fun recordViolation(
        violation: InvariantViolation,
        now: MonotonicTime,
    )

    /** Notes that the system reacts by itself to a change of [service], such as a planned stop, until [expectedEnd]. */
    fun recordAutomaticAction(
        service: ServiceName,
        expectedEnd: MonotonicTime,
        now: MonotonicTime,
    )

    /** Takes in the report of a peer. */
    fun hear(
        report: WarningReport,
        now: MonotonicTime,
    )

    /** Returns what to tell operators now. Call it about once a second. */
    fun tick(now: MonotonicTime): List<WarningAction>

    /** Returns what to tell peers now. */
    fun report(now: MonotonicTime): WarningReport
}
