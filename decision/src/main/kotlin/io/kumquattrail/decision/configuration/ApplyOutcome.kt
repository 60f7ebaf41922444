package io.kumquattrail.decision.configuration

/** Says what a process did with a delta. */
sealed interface ApplyOutcome {
    /**
     * The records moved from revision [previous] to [revision].
     *
     * @property changed keys of the records that now have another version in effect.
     * @property rejected records of this delta that are not in effect.
     */
    data class Applied(
        val previous: Long,
        val revision: Long,
        val changed: List<EntryKey>,
        val rejected: List<RejectedEntry>,
    ) : ApplyOutcome

    /** The delta ends at or below the own [revision], as that of a stale replica or of a late message does. */
    data class NotNewer(
        val revision: Long,
    ) : ApplyOutcome

    /** The delta starts above the own [revision]; records in between would be missing. */
    data class Gap(
        val revision: Long,
    ) : ApplyOutcome

    /** The sender keeps fewer kinds of records than this process. */
    data object KindsMissing : ApplyOutcome

    /** The delta contradicts itself: [entry] lies outside the delta's revisions. */
    data class OutsideRange(
        val entry: EntryKey,
    ) : ApplyOutcome
}
