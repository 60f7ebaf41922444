package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/**
 * Bounds a [SuspectTracker].
 *
 * @property suspectedFor time after the last crash of a request during which it runs in isolation.
 * @property blockedFor time after the last crash of a blocked request during which it is refused.
 * @property maximumSuspects maximum number of suspects, and of cleared requests, that are kept.
 * @property maximumCrashes maximum number of crashes that are kept to detect repeated reports.
 */
data class SuspectLimits(
    val suspectedFor: Duration = 1.hours,
    val blockedFor: Duration = 10.minutes,
    val maximumSuspects: Int = 4_096,
    val maximumCrashes: Int = 256,
)

/**
 * Finds requests that crash the backend servers that run them.
 *
 * Every request in flight at a crash becomes a suspect and runs in isolation from then on. If the server crashes during
 * an isolated run, the suspect is blocked; if the suspect completes, it is cleared. Instances are not thread-safe.
 */
class SuspectTracker(
    private val limits: SuspectLimits = SuspectLimits(),
) {
    private val suspects = LinkedHashMap<String, Suspect>()
    private val cleared = LinkedHashMap<String, MonotonicTime>()
    private val crashes = LinkedHashSet<Crash>()

    /** Number of suspects. */
    val size: Int get() = suspects.size

    /** Returns how the request with [fingerprint] is to be executed. */
    fun executionPolicy(
        fingerprint: String,
        now: MonotonicTime,
    ): ExecutionPolicy {
        val suspect = findUnexpired(fingerprint, now) ?: return ExecutionPolicy.Normal
        val delay = limits.blockedFor - (now - suspect.lastCrash)
        return if (suspect.blocked && delay.isPositive()) ExecutionPolicy.Blocked(delay) else ExecutionPolicy.Isolated
    }

    /** Records a crash of a server. Further reports of the same crash have no effect. */
    fun recordCrash(
        crash: Crash,
        now: MonotonicTime,
    ) {
        if (!crashes.add(crash)) return
        if (crashes.size > limits.maximumCrashes) crashes.remove(crashes.first())
        crash.fingerprints.forEach { fingerprint ->
            val previous = findUnexpired(fingerprint, now)
            // A request that ran in isolation was in flight at an earlier crash, even if this process has received no
            // report of that crash.
            val earlierCrashes = previous?.crashes ?: if (crash.isolated) 1 else 0
            store(
                fingerprint,
                Suspect(
                    crashes = earlierCrashes + 1,
                    // Only a crash in an isolated run blocks the request: another request may have caused any other.
                    blocked = crash.isolated || previous?.blocked == true,
                    lastCrash = now,
                ),
            )
        }
    }

    /** Records that a server has completed the request with [fingerprint], which clears it. */
    fun recordCompletion(
        fingerprint: String,
        now: MonotonicTime,
    ) {
        if (suspects.remove(fingerprint) == null) return
        cleared.remove(fingerprint)
        cleared[fingerprint] = now
        if (cleared.size > limits.maximumSuspects) cleared.remove(cleared.keys.first())
    }

    /** Merges the reports of another process. Crashes before this process cleared the request are ignored. */
    fun merge(
        reports: Collection<SuspectReport>,
        now: MonotonicTime,
    ) {
        reports.forEach { report ->
            val lastCrash = now - report.age
            val clearedAt = cleared[report.fingerprint]
            val isCurrent = report.age < limits.suspectedFor && (clearedAt == null || clearedAt < lastCrash)
            if (isCurrent) {
                val reported = Suspect(report.crashes, report.blocked, lastCrash)
                store(report.fingerprint, findUnexpired(report.fingerprint, now)?.mergedWith(reported) ?: reported)
            }
        }
    }

    /** Returns at most [limit] reports on suspects, those with the latest crashes first. */
    fun reports(
        now: MonotonicTime,
        limit: Int,
    ): List<SuspectReport> {
        suspects.values.removeAll { isExpired(it, now) }
        return suspects.entries
            .sortedByDescending { it.value.lastCrash }
            .take(limit)
            .map { (fingerprint, suspect) ->
                SuspectReport(
                    fingerprint = fingerprint,
                    crashes = suspect.crashes,
                    blocked = suspect.blocked,
                    age = now - suspect.lastCrash,
                )
            }
    }

    private fun findUnexpired(
        fingerprint: String,
        now: MonotonicTime,
    ): Suspect? {
        val suspect = suspects[fingerprint] ?: return null
        if (!isExpired(suspect, now)) return suspect
        suspects.remove(fingerprint)
        return null
    }

    private fun isExpired(
        suspect: Suspect,
        now: MonotonicTime,
    ): Boolean = now - suspect.lastCrash >= limits.suspectedFor

    private fun store(
        fingerprint: String,
        suspect: Suspect,
    ) {
        suspects.remove(fingerprint)
        suspects[fingerprint] = suspect
        if (suspects.size <= limits.maximumSuspects) return
        // Blocked requests are evicted last: they are proved to crash servers, unlike the many requests that were in
        // flight at the same crash.
        val evicted = suspects.entries.firstOrNull { !it.value.blocked } ?: suspects.entries.first()
        suspects.remove(evicted.key)
    }
}

private data class Suspect(
    val crashes: Int,
    val blocked: Boolean,
    val lastCrash: MonotonicTime,
) {
    fun mergedWith(other: Suspect): Suspect =
        Suspect(
            crashes = maxOf(crashes, other.crashes),
            blocked = blocked || other.blocked,
            lastCrash = maxOf(lastCrash, other.lastCrash),
        )
}
