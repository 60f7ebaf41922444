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

/** Classifies a request by the crashes during which it was in progress. */
sealed interface Suspicion {
    /** No crashes are recorded for the request, which runs like any other. */
    data object None : Suspicion

    /** Servers crashed while the request was in progress, and it has not completed since. */
    data class Suspect(
        val crashes: Int,
    ) : Suspicion

    /**
     * The request probably crashes servers, but other requests may account for the same crashes. It does not run for
     * [remaining], which gives those requests time to complete and other processes time to report on them.
     */
    data class Deferred(
        val crashes: Int,
        val remaining: Duration,
    ) : Suspicion

    /** The request crashes the servers that run it, and is refused for [remaining]. */
    data class Fatal(
        val crashes: Int,
        val remaining: Duration,
    ) : Suspicion
}

/**
 * Reports the crashes of one request from one process to others.
 *
 * @property crashes crashes that count against the request, each with the time from sending the request to the crash.
 * @property cleared crashes after which the request has completed, so that they no longer count.
 * @property age time since the last of [crashes] was detected; unlike a timestamp, it does not depend on the clock of
 *   the sender.
 */
data class FatalRequestReport(
    val fingerprint: RequestFingerprint,
    val crashes: Map<ServerCrash, Duration>,
    val cleared: Set<ServerCrash>,
    val age: Duration,
)

/**
 * Bounds a [FatalRequestLedger].
 *
 * @property crashThreshold number of crashes from which a request is deferred or refused if it is likely to be fatal.
 *   The platform tolerates this number of crashes for one request.
 * @property settlingTime time after a crash in which a request that has reached the threshold is deferred and not yet
 *   refused, as other processes may have recorded another request at the same crashes. They report a request that was
 *   in progress at more than one crash immediately.
 * @property tieDeferral time after a crash in which harmless requests that it interrupted are expected to complete. The
 *   likeliest cause of crashes for which several requests may account is deferred until then.
 * @property retention time after the last crash for which a request is kept, and refused if it is fatal. Counting then
 *   starts again at 0, so a fatal request that is sent again later may crash as many servers again.
 * @property singleCrashReportedFor time for which a request with a single crash is reported to other processes, as most
 *   of these were in progress by chance. A request with more crashes is reported for the whole of [retention].
 * @property maximumRequests maximum number of requests that are kept.
 * @property maximumCrashes maximum number of crashes that are kept for a request, and of cleared crashes.
 */
data class FatalRequestLimits(
    val crashThreshold: Int = 3,
    val settlingTime: Duration = 300.milliseconds,
    val tieDeferral: Duration = 3.seconds,
    val retention: Duration = 1.hours,
    val singleCrashReportedFor: Duration = 30.seconds,
    val maximumRequests: Int = 1_024,
    val maximumCrashes: Int = 16,
)

/**
 * Finds requests that crash the servers that run them, where no agent beside the server can run a request in isolation.
 *
 * Load pattern: one caller repeatedly sends a request that crashes every server that runs it, through all gateways,
 * while other requests are in progress on the same servers. Every request in progress at a crash is a suspect until it
 * completes. A request is fatal when it was in progress at [FatalRequestLimits.crashThreshold] crashes without
 * completing, unless other requests that meet the same condition account for all of these crashes. Such a tie is broken
 * by the time from sending to crash: a server crashes as soon as it begins to run the fatal request, so the request
 * with the shortest time is deferred while the others complete.
 *
 * The crashes that processes report are merged as sets, so the order and the number of messages do not matter.
 * Instances are not thread-safe.
 */
class FatalRequestLedger(
    private val limits: FatalRequestLimits = FatalRequestLimits(),
) {
    private val records = LinkedHashMap<RequestFingerprint, Record>()

    /** Whether no crashes are recorded for any request. */
    val isEmpty: Boolean get() = records.isEmpty()

    /** Classifies the request with [fingerprint]. */
    fun classify(
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ): Suspicion {
        val record = findUnexpired(fingerprint, now) ?: return Suspicion.None
        val count = record.crashes.size
        val age = now - record.lastCrash
        return when {
            count == 0 -> Suspicion.None

            count < limits.crashThreshold -> Suspicion.Suspect(count)

            age < limits.settlingTime -> Suspicion.Deferred(count, remaining = limits.settlingTime - age)

            isFatal(record) -> Suspicion.Fatal(count, remaining = limits.retention - age)

            age < limits.tieDeferral &&
                isLikeliestCause(record) -> Suspicion.Deferred(count, remaining = limits.tieDeferral - age)

            else -> Suspicion.Suspect(count)
        }
    }

    /** Returns the number of crashes that count against the request with [fingerprint]. */
    fun crashCount(fingerprint: RequestFingerprint): Int = records[fingerprint]?.crashes?.size ?: 0

    /**
     * Records that [crash] occurred while the request with [fingerprint] was in progress, [timeSinceSent] after it was
     * sent. Returns `false` if the crash is already recorded for the request, also as a cleared one.
     */
    fun recordCrash(
        crash: ServerCrash,
        fingerprint: RequestFingerprint,
        timeSinceSent: Duration,
        now: MonotonicTime,
    ): Boolean {
        val record = findUnexpired(fingerprint, now) ?: Record()
        if (crash in record.crashes || crash in record.cleared) return false
        store(fingerprint, record.with(crashes = mapOf(crash to timeSinceSent), lastCrash = now, updated = now))
        return true
    }

    /** Records that a server has completed the request. Returns the crashes that no longer count against it. */
    fun recordCompletion(
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ): Set<ServerCrash> {
        val record = findUnexpired(fingerprint, now)?.takeIf { it.crashes.isNotEmpty() } ?: return emptySet()
        store(fingerprint, record.with(cleared = record.crashes.keys, updated = now))
        return record.crashes.keys
    }

    /** Merges the reports of another process. */
    fun merge(
        reports: Collection<FatalRequestReport>,
        now: MonotonicTime,
    ) {
        reports.filter { it.age < limits.retention }.forEach { report ->
            val record = findUnexpired(report.fingerprint, now) ?: Record()
            val merged = record.with(crashes = report.crashes, cleared = report.cleared, lastCrash = now - report.age)
            if (!merged.hasSameCrashesAs(record)) store(report.fingerprint, merged.copy(updated = now))
        }
    }

    /** Returns at most [limit] reports on requests, those with the most crashes first. */
    fun reports(
        now: MonotonicTime,
        limit: Int,
    ): List<FatalRequestReport> {
        records.values.removeAll { isExpired(it, now) }
        return records.entries
            .filter { (_, record) -> record.crashes.size > 1 || now - record.updated < limits.singleCrashReportedFor }
            .sortedWith(
                compareByDescending<Map.Entry<*, Record>> {
                    it.value.crashes.size
                }.thenByDescending { it.value.updated },
            ).take(limit)
            .map { (fingerprint, record) ->
                FatalRequestReport(fingerprint, record.crashes, record.cleared, age = now - record.lastCrash)
            }
    }

    // A request is not fatal if other requests at the threshold account for all of its crashes: it may have been
    // interrupted each time by a fatal request on the same server.
    private fun isFatal(record: Record): Boolean {
        val otherRequestsAtThreshold = otherRequestsAtThreshold(record)
        return record.crashes.keys.any { crash -> otherRequestsAtThreshold.none { crash in it.crashes } }
    }

    private fun isLikeliestCause(record: Record): Boolean =
        otherRequestsAtThreshold(record).none { isFatal(it) || it.meanTimeSinceSent < record.meanTimeSinceSent }

    /** Returns the other requests that have reached the threshold and share a crash with [record]. */
    private fun otherRequestsAtThreshold(record: Record): List<Record> =
        records.values.filter { other ->
            other !== record && other.crashes.size >= limits.crashThreshold &&
                other.crashes.keys.any { it in record.crashes }
        }

    private fun findUnexpired(
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ): Record? {
        val record = records[fingerprint] ?: return null
        if (!isExpired(record, now)) return record
        records.remove(fingerprint)
        return null
    }

    private fun isExpired(
        record: Record,
        now: MonotonicTime,
    ): Boolean = now - record.lastCrash >= limits.retention

    private fun store(
        fingerprint: RequestFingerprint,
        record: Record,
    ) {
        records.remove(fingerprint)
        records[fingerprint] =
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
        // The oldest request with the fewest crashes is the least likely to be fatal.
        if (records.size > limits.maximumRequests) records.remove(records.minBy { it.value.crashes.size }.key)
    }

    /** @property updated time at which the crashes that this process has recorded for the request last changed. */
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
