package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The end of a backend server.
 *
 * @property incarnation tells the starts of a server apart that registers under the same name again.
 */
data class ServerEnd(
    val server: ServerName,
    val incarnation: Long = 0,
)

/** Says what is held against a request. */
sealed interface Suspicion {
    /** Nothing; the request runs like any other. */
    data object None : Suspicion

    /** Servers ended while the request was in progress, and it has not completed since. */
    data class Suspect(
        val ends: Int,
    ) : Suspicion

    /**
     * The request probably ends servers, but others may account for the same ends. It does not run for [remaining], in
     * which they complete or other processes tell of them.
     */
    data class Deferred(
        val ends: Int,
        val remaining: Duration,
    ) : Suspicion

    /** The request ends the servers that run it, and is refused for [remaining]. */
    data class Fatal(
        val ends: Int,
        val remaining: Duration,
    ) : Suspicion
}

/**
 * What one process tells others of a request.
 *
 * @property ends ends of servers that are held against the request, with the time since it was sent to the server.
 * @property cleared ends after which the request has completed, so that they count no longer.
 * @property age time since the last of [ends] became known; ages pass between clocks that times do not.
 */
data class FatalRequestReport(
    val fingerprint: RequestFingerprint,
    val ends: Map<ServerEnd, Duration>,
    val cleared: Set<ServerEnd>,
    val age: Duration,
)

/**
 * Bounds a [FatalRequestLedger].
 *
 * @property bearableEnds ends under one request that the platform bears before the request must be kept from servers.
 * @property settling time after an end in which a request is not judged, as other processes may have seen another request
 *   end the same servers. They tell each other at once.
 * @property tieTime time after an end in which requests complete that were cut by it and do not end servers themselves.
 * @property memory time after the last end for which a request is remembered, and refused if it is fatal. A request that
 *   is sent again after it may end one more server.
 * @property spreadFor time for which other processes are told of a request with a single end, which is most often in
 *   progress by chance; one with more is told of as long as it is remembered.
 * @property maximumRequests requests that are remembered.
 * @property maximumEnds ends that are remembered for a request, and as many that are cleared.
 */
data class FatalRequestLimits(
    val bearableEnds: Int = 3,
    val settling: Duration = 300.milliseconds,
    val tieTime: Duration = 3.seconds,
    val memory: Duration = 1.hours,
    val spreadFor: Duration = 30.seconds,
    val maximumRequests: Int = 1_024,
    val maximumEnds: Int = 16,
)

/**
 * Finds requests that end the servers that run them, where nothing stands beside a server that could run a request alone.
 *
 * Load pattern: one caller sends a request again and again that ends each server, through all gateways, while other
 * requests are in progress on the same servers. Every request in progress at an end is a suspect, and completing clears
 * it. A request is fatal when it was in progress at [FatalRequestLimits.bearableEnds] ends without completing, unless
 * other requests of which the same holds account for all of them. In such a tie the request that had been sent the
 * shortest time before the ends waits, as a server ends when it begins to run the fatal one, and the others complete.
 *
 * What processes know is joined as sets of ends, so the order and the number of messages do not matter. An instance is
 * used by one thread at a time.
 */
class FatalRequestLedger(
    private val limits: FatalRequestLimits = FatalRequestLimits(),
) {
    private val records = LinkedHashMap<RequestFingerprint, Record>()

    /** Whether nothing is held against any request. */
    val isEmpty: Boolean get() = records.isEmpty()

    /** Returns what is held against the request with [fingerprint]. */
    fun judge(
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ): Suspicion {
        val record = current(fingerprint, now) ?: return Suspicion.None
        val ends = record.ends.size
        val age = now - record.lastEnd
        return when {
            ends == 0 -> Suspicion.None
            ends < limits.bearableEnds -> Suspicion.Suspect(ends)
            age < limits.settling -> Suspicion.Deferred(ends, remaining = limits.settling - age)
            isFatal(record) -> Suspicion.Fatal(ends, remaining = limits.memory - age)
            age < limits.tieTime && isLikeliest(record) -> Suspicion.Deferred(ends, remaining = limits.tieTime - age)
            else -> Suspicion.Suspect(ends)
        }
    }

    /** Number of ends that are held against the request with [fingerprint]. */
    fun endsHeldAgainst(fingerprint: RequestFingerprint): Int = records[fingerprint]?.ends?.size ?: 0

    /**
     * Records that [end] came while the request was in progress, [sentBefore] after it was sent. Returns whether that was
     * not known before.
     */
    fun inProgressAt(
        end: ServerEnd,
        fingerprint: RequestFingerprint,
        sentBefore: Duration,
        now: MonotonicTime,
    ): Boolean {
        val record = current(fingerprint, now) ?: Record()
        if (end in record.ends || end in record.cleared) return false
        remember(fingerprint, record.with(ends = mapOf(end to sentBefore), lastEnd = now, changed = now))
        return true
    }

    /** Records that a server has completed the request. Returns the ends that this clears it of. */
    fun completed(
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ): Set<ServerEnd> {
        val record = current(fingerprint, now)?.takeIf { it.ends.isNotEmpty() } ?: return emptySet()
        remember(fingerprint, record.with(cleared = record.ends.keys, changed = now))
        return record.ends.keys
    }

    /** Takes in what another process knows. */
    fun merge(
        reports: Collection<FatalRequestReport>,
        now: MonotonicTime,
    ) {
        reports.filter { it.age < limits.memory }.forEach { report ->
            val record = current(report.fingerprint, now) ?: Record()
            val merged = record.with(ends = report.ends, cleared = report.cleared, lastEnd = now - report.age)
            if (!merged.hasSameEndsAs(record)) remember(report.fingerprint, merged.copy(changed = now))
        }
    }

    /** Returns what this process knows, those with the most ends first, at most [most] reports. */
    fun reports(
        now: MonotonicTime,
        most: Int,
    ): List<FatalRequestReport> {
        records.values.removeAll { isExpired(it, now) }
        return records.entries
            .filter { (_, record) -> record.ends.size > 1 || now - record.changed < limits.spreadFor }
            .sortedWith(
                compareByDescending<Map.Entry<*, Record>> { it.value.ends.size }.thenByDescending { it.value.changed },
            ).take(most)
            .map { (fingerprint, record) ->
                FatalRequestReport(fingerprint, record.ends, record.cleared, age = now - record.lastEnd)
            }
    }

    // Requests that were in progress beside a fatal one, and were cut each time, are spared.
    private fun isFatal(record: Record): Boolean {
        val rivals = rivals(record)
        return record.ends.keys.any { end -> rivals.none { end in it.ends } }
    }

    private fun isLikeliest(record: Record): Boolean =
        rivals(record).none { isFatal(it) || it.meanTimeBefore < record.meanTimeBefore }

    private fun rivals(record: Record): List<Record> =
        records.values.filter { other ->
            other !== record && other.ends.size >= limits.bearableEnds && other.ends.keys.any { it in record.ends }
        }

    private fun current(
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
    ): Boolean = now - record.lastEnd >= limits.memory

    private fun remember(
        fingerprint: RequestFingerprint,
        record: Record,
    ) {
        records.remove(fingerprint)
        records[fingerprint] =
            record.copy(
                ends =
                    record.ends
                        .toList()
                        .takeLast(limits.maximumEnds)
                        .toMap(),
                cleared =
                    record.cleared
                        .toList()
                        .takeLast(limits.maximumEnds)
                        .toSet(),
            )
        // The oldest of those with the fewest ends is the least likely to be fatal.
        if (records.size > limits.maximumRequests) records.remove(records.minBy { it.value.ends.size }.key)
    }

    /** @property changed time at which this process last learned something new of the request. */
    private data class Record(
        val ends: Map<ServerEnd, Duration> = emptyMap(),
        val cleared: Set<ServerEnd> = emptySet(),
        val lastEnd: MonotonicTime = MonotonicTime(Long.MIN_VALUE),
        val changed: MonotonicTime = MonotonicTime(Long.MIN_VALUE),
    ) {
        val meanTimeBefore: Duration get() = ends.values.fold(Duration.ZERO, Duration::plus) / ends.size

        fun with(
            ends: Map<ServerEnd, Duration> = emptyMap(),
            cleared: Set<ServerEnd> = emptySet(),
            lastEnd: MonotonicTime = this.lastEnd,
            changed: MonotonicTime = this.changed,
        ): Record {
            val allCleared = this.cleared + cleared
            return Record(
                // What is known first of an end stays, so that processes which tell each other come to rest.
                ends = this.ends + (ends - this.ends.keys) - allCleared,
                cleared = allCleared,
                lastEnd = maxOf(this.lastEnd, lastEnd),
                changed = changed,
            )
        }

        fun hasSameEndsAs(other: Record): Boolean = ends.keys == other.ends.keys && cleared == other.cleared
    }
}
