package io.kumquattrail.decision.configuration

import com.github.michaelbull.result.Result
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.PublishedRecord

/** Reads a record from its published bytes. */
fun interface RecordDecoder {
    /** Returns the record of [entry], or the reason for which this program rejects it as a whole. */
    fun decode(entry: PublishedEntry): Result<PublishedRecord, RejectionReason>
}

/** Says why a published record is not in effect. */
sealed interface RejectionReason {
    /** This program does not know the kind; the entry is only passed on. */
    data object UnknownKind : RejectionReason

    /** The bytes are no valid record; [detail] names the field and the violated rule. */
    data class Malformed(
        val detail: String,
    ) : RejectionReason

    /** The record declares that programs below version [minimumReader] must not read it. */
    data class NewerReaderRequired(
        val minimumReader: Int,
    ) : RejectionReason

    /** The bytes describe the record [decoded] and not the one under whose key they were published. */
    data class KeyMismatch(
        val decoded: EntryKey,
    ) : RejectionReason

    /** The record changes or drops [generation], which was published before and may have been used by callers. */
    data class GenerationChanged(
        val generation: KeyOwnerGeneration,
    ) : RejectionReason

    /** The record gives another address to a server that owns caller keys at [address]. */
    data class OwnerMoved(
        val address: String,
    ) : RejectionReason

    /** The intervals of [first] and [second] overlap, so that a key would have two owners. */
    data class GenerationsOverlap(
        val first: KeyOwnerGeneration,
        val second: KeyOwnerGeneration,
    ) : RejectionReason
}

/** Names a rejected record; its last valid version, if any, stays in effect. */
data class RejectedEntry(
    val key: EntryKey,
    val revision: Long,
    val reason: RejectionReason,
)
