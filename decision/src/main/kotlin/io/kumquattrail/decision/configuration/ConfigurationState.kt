package io.kumquattrail.decision.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.PublishedRecord
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.record.ServiceRecord
import kotlin.concurrent.Volatile

/**
 * Holds the configuration that is in effect in one process, together with the published bytes of every record.
 *
 * The state moves only to higher revisions, and a revision stands for a complete prefix of what was published. One
 * thread at a time changes the state; any thread may read [records] and [confirmed].
 */
class ConfigurationState(
    private val decoder: RecordDecoder,
    val subscription: RecordSubscription = RecordSubscription.ALL,
) {
    /** Records in effect. */
    @Volatile
    var records: RecordSet = RecordSet()
        private set

    /** Whether the records are known to be no older than those that were in effect before this process started. */
    @Volatile
    var confirmed: Boolean = false
        private set

    private val newest = HashMap<EntryKey, PublishedEntry>()

    // Holds the version in effect of each record whose newest version is rejected.
    private val lastValid = HashMap<EntryKey, PublishedEntry>()
    private val rejections = LinkedHashMap<EntryKey, RejectedEntry>()
    private val generations = HashMap<EntryKey, List<KeyOwnerGeneration>>()
    private val generationSources = HashMap<EntryKey, PublishedEntry>()
    private val addresses = HashMap<ServerName, String>()
    private val log = ArrayList<PublishedEntry>()

    /** Revision of the records in effect; 0 before the first records. */
    val revision: Long get() = records.revision

    /** Records whose newest version is not in effect, by key. */
    val rejected: Map<EntryKey, RejectedEntry> get() = rejections.toMap()

    /** Newest published version of each record, in effect or not. */
    val entries: Collection<PublishedEntry> get() = newest.values.toList()

    /** Marks the records as confirmed, which they remain. */
    fun confirm() {
        confirmed = true
    }

    /** Takes [delta] over as a whole, or leaves the state as it is. */
    fun apply(delta: RecordDelta): ApplyOutcome {
        val previous = revision
        val outside = delta.entries.find { it.revision <= delta.from || it.revision > delta.to }
        return when {
            outside != null -> ApplyOutcome.OutsideRange(outside.key)
            delta.to <= previous -> ApplyOutcome.NotNewer(previous)
            delta.from > previous -> ApplyOutcome.Gap(previous)
            !delta.subscription.covers(subscription) -> ApplyOutcome.KindsMissing
            else -> applyEntries(delta, previous)
        }
    }

    /** Returns everything above revision [after] that both this process and [subscription] keep. */
    fun delta(
        after: Long,
        subscription: RecordSubscription = RecordSubscription.ALL,
    ): RecordDelta {
        val from = after.coerceAtMost(revision)
        val start = log.binarySearch { if (it.revision <= from) -1 else 1 }.let { -it - 1 }
        val excluded = subscription.excludedKinds.toSet() + this.subscription.excludedKinds
        return RecordDelta(
            from = from,
            to = revision,
            entries = log.subList(start, log.size).filter { it.kind !in excluded && isKept(it) },
            subscription = if (this.subscription.covers(subscription)) subscription else this.subscription,
        )
    }

    private fun applyEntries(
        delta: RecordDelta,
        previous: Long,
    ): ApplyOutcome.Applied {
        val changed = ArrayList<EntryKey>()
        val rejectedNow = LinkedHashMap<EntryKey, RejectedEntry>()
        val builder = records.records.builder()
        delta.entries
            .filter { it.revision > previous && subscription.includes(it.kind) }
            .sortedBy { it.revision }
            .forEach { entry ->
                log += entry
                val replaced = newest.put(entry.key, entry)
                read(entry).fold(
                    success = { record ->
                        builder[record.key] = record
                        lastValid.remove(entry.key)
                        rejections.remove(entry.key)
                        rejectedNow.remove(entry.key)
                        remember(record, entry)
                        changed += entry.key
                    },
                    failure = { reason ->
                        if (replaced != null && entry.key !in rejections) lastValid[entry.key] = replaced
                        val rejection = RejectedEntry(entry.key, entry.revision, reason)
                        rejections[entry.key] = rejection
                        rejectedNow[entry.key] = rejection
                    },
                )
            }
        compactLog()
        records = RecordSet(revision = delta.to, records = builder.build())
        return ApplyOutcome.Applied(previous, delta.to, changed.distinct(), rejectedNow.values.toList())
    }

    private fun read(entry: PublishedEntry): Result<PublishedRecord, RejectionReason> =
        decoder.decode(entry).flatMap { record ->
            val decoded = EntryKey(record.key.kind.label, record.key.name)
            val reason =
                when {
                    decoded != entry.key -> RejectionReason.KeyMismatch(decoded)
                    record is ServiceRecord -> violation(record.keyOwners, generations[entry.key].orEmpty())
                    record is BackendServerRecord -> ownerMoved(record)
                    else -> null
                }
            if (reason == null) Ok(record) else Err(reason)
        }

    private fun remember(
        record: PublishedRecord,
        entry: PublishedEntry,
    ) {
        if (record is BackendServerRecord) addresses[record.name] = record.address
        if (record !is ServiceRecord) return
        generations[entry.key] = record.keyOwners
        if (record.keyOwners.isNotEmpty()) generationSources[entry.key] = entry
    }

    // An agent at the old address may live on for processes with older records, and both would run the server's keys.
    private fun ownerMoved(next: BackendServerRecord): RejectionReason? {
        val address = addresses[next.name] ?: return null
        val ownsKeys = generations.values.any { published -> published.any { next.name in it.servers } }
        return RejectionReason.OwnerMoved(address).takeIf { ownsKeys && address != next.address }
    }

    // Generations outlive the removal of their service: a service published again under the same name would otherwise
    // give keys of the past to other owners, which could run them a second time.
    private fun violation(
        next: List<KeyOwnerGeneration>,
        published: List<KeyOwnerGeneration>,
    ): RejectionReason? =
        published.find { it !in next }?.let(RejectionReason::GenerationChanged)
            ?: next
                .sortedBy { it.fromMilliseconds }
                .zipWithNext()
                .find { (first, second) -> second.fromMilliseconds < first.untilMilliseconds }
                ?.let { (first, second) -> RejectionReason.GenerationsOverlap(first, second) }

    // The record with a removed service's generations is kept for processes that start after the removal.
    private fun isKept(entry: PublishedEntry): Boolean =
        newest[entry.key] === entry || lastValid[entry.key] === entry || generationSources[entry.key] === entry

    private fun compactLog() {
        if (log.size > 2 * newest.size + LOG_SLACK_ENTRIES) log.retainAll(::isKept)
    }

    private companion object {
        const val LOG_SLACK_ENTRIES = 64
    }
}
