package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Identifies a crash of a backend server.
 *
 * @property incarnation distinguishes successive runs of a server that registers again under the same name.
 */
data class ServerCrash(
    val server: ServerName,
    val incarnation: Long = 0,
)

/** Classifies a request by the crashes that it, or a part of its prompt, may have caused. */
sealed interface Suspicion {
    /** No crashes are recorded, and the request runs like any other. */
    data object None : Suspicion

    /** Servers crashed while the suspect was in progress, and no server has answered it since. */
    data class Suspect(
        val crashes: Int,
    ) : Suspicion

    /**
     * The suspect probably crashes servers, but others may account for the same crashes. The request does not run for
     * [remaining], which gives the others time to be cleared and other processes time to report on them.
     */
    data class Deferred(
        val crashes: Int,
        val remaining: Duration,
    ) : Suspicion

    /** The suspect crashes the servers that run it, and the request is refused for [remaining]. */
    data class Fatal(
        val crashes: Int,
        val remaining: Duration,
    ) : Suspicion
}

private val Suspicion.gravity: Int
    get() =
        when (this) {
            Suspicion.None -> 0
            is Suspicion.Suspect -> 1
            is Suspicion.Deferred -> 2
            is Suspicion.Fatal -> 3
        }

/**
 * Reports the crashes of one suspect from one process to others.
 *
 * @property crashes crashes that count against the suspect, each with the time from sending the request to the crash.
 * @property cleared crashes after which a server has answered the suspect, so that they no longer count.
 * @property age time since the last of [crashes] was detected; unlike a timestamp, it does not depend on the clock of
 *   the sender.
 */
data class CrashReport<Suspect : Any>(
    val suspect: Suspect,
    val crashes: Map<ServerCrash, Duration>,
    val cleared: Set<ServerCrash>,
    val age: Duration,
)

/**
 * Bounds a [CrashLedger].
 *
 * @property crashThreshold number of crashes from which a suspect is deferred or refused if it is likely to be fatal.
 * @property exoneratingCrashes number of crashes from which a suspect accounts for the crashes that it shares with
 *   others; [crashThreshold] against suspects that have reached [Retrial.conclusiveCrashes].
 * @property retrial when a suspect with few crashes is tried once more; `null` to refuse it for all of [retention].
 * @property settlingTime time after a crash in which a suspect that has reached the threshold is deferred and not yet
 *   refused, as other processes may have recorded another suspect at the same crashes. They report a suspect that was
 *   in progress at more than one crash immediately.
 * @property tieDeferral time after a crash in which harmless requests that it interrupted are expected to complete. The
 *   likeliest cause of crashes for which several suspects may account is deferred until then.
 * @property retention time after the last crash for which a suspect is kept, and refused if it is fatal. Counting then
 *   starts again at 0, so a fatal request that is sent again later may crash as many servers again.
 * @property singleCrashReportedFor time for which a suspect with a single crash is reported to other processes, as most
 *   of these were in progress by chance. A suspect with more crashes is reported for the whole of [retention].
 * @property maximumSuspects maximum number of suspects that are kept.
 * @property maximumCrashes maximum number of crashes that are kept for a suspect, and of cleared crashes.
 */
data class CrashLedgerLimits(
    val crashThreshold: Int = 3,
    val exoneratingCrashes: Int = crashThreshold,
    val retrial: Retrial? = null,
    val settlingTime: Duration = 300.milliseconds,
    val tieDeferral: Duration = 3.seconds,
    val retention: Duration = 1.hours,
    val singleCrashReportedFor: Duration = 30.seconds,
    val maximumSuspects: Int = 1_024,
    val maximumCrashes: Int = 16,
)

/**
 * Lets a suspect that was refused as fatal run once more, as it may have been in progress at the crashes by chance.
 *
 * @property delay time from the last crash to the next attempt.
 * @property conclusiveCrashes number of crashes from which the suspect is not tried again, whatever was in progress
 *   beside it only once.
 */
data class Retrial(
    val delay: Duration,
    val conclusiveCrashes: Int,
)

/**
 * Finds what crashes the servers that run it, where no agent beside the server can run a request in isolation: whole
 * requests, or parts of prompts that many requests share.
 *
 * Load pattern: callers repeatedly send requests with the suspect, which crashes every server that runs it, through all
 * gateways, while other requests are in progress on the same servers. Everything in progress at a crash is a suspect
 * until a server has answered it. A suspect is fatal when it was in progress at [CrashLedgerLimits.crashThreshold]
 * crashes without an answer, unless others with [CrashLedgerLimits.exoneratingCrashes] account for all of them. Such a
 * tie is broken by the time from sending to crash: a server crashes as soon as it begins to run the fatal request, so
 * the suspect with the shortest time is deferred while the others are cleared.
 *
 * The crashes that processes report are merged as sets, so the order and the number of messages do not matter.
 * Instances are not thread-safe.
 */
class CrashLedger<Suspect : Any>(
    private val limits: CrashLedgerLimits = CrashLedgerLimits(),
) {
    private val records = LinkedHashMap<Suspect, Record>()

    /** Whether crashes count against any suspect; requests need not be classified otherwise. */
    var hasSuspects = false
        private set

    /** Classifies a request that consists of [suspect]. */
    fun classify(
        suspect: Suspect,
        now: MonotonicTime,
    ): Suspicion = classify(listOf(suspect), now)

    /** Classifies a request that has all of [suspects]; the gravest suspicion counts. */
    fun classify(
        suspects: Collection<Suspect>,
        now: MonotonicTime,
    ): Suspicion {
        val suspected = suspects.mapNotNull { findUnexpired(it, now) }.filter { it.crashes.isNotEmpty() }
        return suspected.map { classify(it, suspected, now) }.maxByOrNull { it.gravity } ?: Suspicion.None
    }

    private fun classify(
        record: Record,
        suspected: List<Record>,
        now: MonotonicTime,
    ): Suspicion {
        val count = record.crashes.size
        val age = now - record.lastCrash
        val isFatal = isFatal(record, suspected)
        val isTieDeferred = limits.tieDeferral.isPositive()
        return when {
            count < limits.crashThreshold -> {
                Suspicion.Suspect(count)
            }

            age < limits.settlingTime && (isFatal || isTieDeferred) -> {
                Suspicion.Deferred(count, remaining = limits.settlingTime - age)
            }

            isFatal -> {
                fatalUnlessRetried(count, age)
            }

            age < limits.tieDeferral &&
                isLikeliestCause(record) -> {
                Suspicion.Deferred(count, remaining = limits.tieDeferral - age)
            }

            else -> {
                Suspicion.Suspect(count)
            }
        }
    }

    private fun fatalUnlessRetried(
        crashes: Int,
        age: Duration,
    ): Suspicion {
        val retrial = limits.retrial?.takeIf { crashes < it.conclusiveCrashes }
        val remaining = (retrial?.delay ?: limits.retention) - age
        return if (remaining.isPositive()) Suspicion.Fatal(crashes, remaining) else Suspicion.Suspect(crashes)
    }

    /** Returns those of [suspects] against which crashes count, the one with the most crashes first. */
    fun suspectsAmong(
        suspects: Collection<Suspect>,
        now: MonotonicTime,
    ): List<Suspect> =
        suspects
            .filter { suspect -> findUnexpired(suspect, now)?.crashes?.isNotEmpty() ?: false }
            .sortedByDescending(::crashCount)

    /** Returns the number of crashes that count against [suspect]. */
    fun crashCount(suspect: Suspect): Int = records[suspect]?.crashes?.size ?: 0

    /**
     * Records that [crash] occurred while a request with [suspect] was in progress, [timeSinceSent] after it was sent.
     * Returns `false` if the crash is already recorded for the suspect, also as a cleared one.
     */
    fun recordCrash(
        crash: ServerCrash,
        suspect: Suspect,
        timeSinceSent: Duration,
        now: MonotonicTime,
    ): Boolean {
        val record = findUnexpired(suspect, now) ?: Record()
        if (crash in record.crashes || crash in record.cleared) return false
        store(suspect, record.with(crashes = mapOf(crash to timeSinceSent), lastCrash = now, updated = now))
        return true
    }

    /**
     * Records that a server has answered a request with [suspect], which proves it harmless. Returns the crashes that no
     * longer count against it.
     */
    fun recordCompletion(
        suspect: Suspect,
        now: MonotonicTime,
    ): Set<ServerCrash> {
        val record = findUnexpired(suspect, now)?.takeIf { it.crashes.isNotEmpty() } ?: return emptySet()
        store(suspect, record.with(cleared = record.crashes.keys, updated = now))
        return record.crashes.keys
    }

    /** Merges the reports of another process. */
    fun merge(
        reports: Collection<CrashReport<Suspect>>,
        now: MonotonicTime,
    ) {
        reports.filter { it.age < limits.retention }.forEach { report ->
            val record = findUnexpired(report.suspect, now) ?: Record()
            val merged = record.with(crashes = report.crashes, cleared = report.cleared, lastCrash = now - report.age)
            if (!merged.hasSameCrashesAs(record)) store(report.suspect, merged.copy(updated = now))
        }
    }

    /** Returns at most [limit] reports on suspects, those with the most crashes first. */
    fun reports(
        now: MonotonicTime,
        limit: Int,
    ): List<CrashReport<Suspect>> {
        records.values.removeAll { isExpired(it, now) }
        updateHasSuspects()
        return records.entries
            .filter { (_, record) -> record.crashes.size > 1 || now - record.updated < limits.singleCrashReportedFor }
            .sortedWith(
                compareByDescending<Map.Entry<*, Record>> {
                    it.value.crashes.size
                }.thenByDescending { it.value.updated },
            ).take(limit)
            .map { (suspect, record) ->
                CrashReport(suspect, record.crashes, record.cleared, age = now - record.lastCrash)
            }
    }

    // A suspect is not fatal if others account for all of its crashes: its requests may have been interrupted each time
    // by a fatal one on the same server. Those that belong to the same request do not exonerate
    // each other, as the request holds the fatal one in any case.
    private fun isFatal(
        record: Record,
        sameRequest: List<Record> = emptyList(),
    ): Boolean {
        val others = othersAtCrashes(record).filter { other -> sameRequest.none { it === other } }
        return record.crashes.keys.any { crash -> others.none { crash in it.crashes } }
    }

    private fun isLikeliestCause(record: Record): Boolean =
        othersAtCrashes(record).none { isFatal(it) || it.meanTimeSinceSent < record.meanTimeSinceSent }

    /** Returns the other suspects that share a crash with [record] and may account for it. */
    private fun othersAtCrashes(record: Record): List<Record> {
        // Parts that occur in a single request are never cleared, and would exonerate a fatal one at each crash.
        val isConclusive = limits.retrial?.let { record.crashes.size >= it.conclusiveCrashes } ?: false
        val leastCrashes = if (isConclusive) limits.crashThreshold else limits.exoneratingCrashes
        return records.values.filter { other ->
            other !== record && other.crashes.size >= leastCrashes && other.crashes.keys.any { it in record.crashes }
        }
    }

    private fun findUnexpired(
        suspect: Suspect,
        now: MonotonicTime,
    ): Record? {
        val record = records[suspect] ?: return null
        if (!isExpired(record, now)) return record
        records.remove(suspect)
        return null
    }

    private fun isExpired(
        record: Record,
        now: MonotonicTime,
    ): Boolean = now - record.lastCrash >= limits.retention

    private fun store(
        suspect: Suspect,
        record: Record,
    ) {
        records.remove(suspect)
        records[suspect] =
            record.copy(
                crashes =
                    record.crashes
                        .toList()
                        .takeLast(limits.maximumCrashes)
                        .toMap(),
                cleared =
                    record.cleared
                        .toList()
                        .takeLast(limits.maximumCrashes)
                        .toSet(),
            )
        // The oldest suspect with the fewest crashes is the least likely to be fatal.
        if (records.size > limits.maximumSuspects) records.remove(records.minBy { it.value.crashes.size }.key)
        updateHasSuspects()
    }

    private fun updateHasSuspects() {
        hasSuspects = records.values.any { it.crashes.isNotEmpty() }
    }

    /** @property updated time at which the crashes that this process has recorded for the suspect last changed. */
    private data class Record(
        val crashes: Map<ServerCrash, Duration> = emptyMap(),
        val cleared: Set<ServerCrash> = emptySet(),
        val lastCrash: MonotonicTime = MonotonicTime(Long.MIN_VALUE),
        val updated: MonotonicTime = MonotonicTime(Long.MIN_VALUE),
    ) {
        val meanTimeSinceSent: Duration get() = crashes.values.fold(Duration.ZERO, Duration::plus) / crashes.size

        fun with(
            crashes: Map<ServerCrash, Duration> = emptyMap(),
            cleared: Set<ServerCrash> = emptySet(),
            lastCrash: MonotonicTime = this.lastCrash,
            updated: MonotonicTime = this.updated,
        ): Record {
            val allCleared = this.cleared + cleared
            return Record(
                // The first value recorded for a crash is kept, so that reports between processes converge.
                crashes = this.crashes + (crashes - this.crashes.keys) - allCleared,
                cleared = allCleared,
                lastCrash = maxOf(this.lastCrash, lastCrash),
                updated = updated,
            )
        }

        fun hasSameCrashesAs(other: Record): Boolean = crashes.keys == other.crashes.keys && cleared == other.cleared
    }
}
