package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/**
 * Bounds a [SuspectTracker].
 *
 * @property suspectedFor time after its last crash during which a request runs alone.
 * @property blockedFor time after its last crash during which a blocked request is refused.
 * @property maximumSuspects requests that are remembered.
 * @property maximumCrashes crashes that are remembered in order to count each once.
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
 * Every request in flight at a crash becomes a suspect and runs alone. A suspect during whose lone run another server
 * crashes is blocked; one that completes is cleared. An instance is used by one thread at a time.
 */
class SuspectTracker(
    private val limits: SuspectLimits = SuspectLimits(),
) {
    private val suspects = LinkedHashMap<String, Suspect>()
    private val cleared = LinkedHashMap<String, MonotonicTime>()
    private val crashes = LinkedHashSet<Crash>()

    /** Number of requests that are remembered as suspects. */
    val size: Int get() = suspects.size

    /** Returns how a request with [fingerprint] runs. */
    fun treatment(
        fingerprint: String,
        now: MonotonicTime,
    ): Treatment {
        val suspect = current(fingerprint, now) ?: return Treatment.Normal
        val remaining = limits.blockedFor - (now - suspect.lastCrash)
        return if (suspect.blocked && remaining.isPositive()) Treatment.Blocked(remaining) else Treatment.Alone
    }

    /** Records that a server crashed; further reports of the same crash have no effect. */
    fun crashed(
        crash: Crash,
        now: MonotonicTime,
    ) {
        if (!crashes.add(crash)) return
        if (crashes.size > limits.maximumCrashes) crashes.remove(crashes.first())
        crash.fingerprints.forEach { fingerprint ->
            val known = current(fingerprint, now)
            // A request that ran alone was in flight at an earlier crash, also when this process has not heard of it.
            val earlierCrashes = known?.crashes ?: if (crash.alone) 1 else 0
            remember(
                fingerprint,
                Suspect(
                    crashes = earlierCrashes + 1,
                    // A server may crash for a reason of its own, so a first crash does not block.
                    blocked = crash.alone || known?.blocked == true,
                    lastCrash = now,
                ),
            )
        }
    }

    /** Clears the request with [fingerprint], which a server has completed. */
    fun completed(
        fingerprint: String,
        now: MonotonicTime,
    ) {
        if (suspects.remove(fingerprint) == null) return
        cleared.remove(fingerprint)
        cleared[fingerprint] = now
        if (cleared.size > limits.maximumSuspects) cleared.remove(cleared.keys.first())
    }

    /** Takes in what another process knows. Crashes before this process cleared the request do not count. */
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
                remember(report.fingerprint, current(report.fingerprint, now)?.mergedWith(reported) ?: reported)
            }
        }
    }

    /** Returns what this process knows, latest crashes first, at most [most] reports. */
    fun reports(
        now: MonotonicTime,
        most: Int,
    ): List<SuspectReport> {
        suspects.values.removeAll { isExpired(it, now) }
        return suspects.entries
            .sortedByDescending { it.value.lastCrash }
            .take(most)
            .map { (fingerprint, suspect) ->
                SuspectReport(
                    fingerprint = fingerprint,
                    crashes = suspect.crashes,
                    blocked = suspect.blocked,
                    age = now - suspect.lastCrash,
                )
            }
    }

    private fun current(
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

    private fun remember(
        fingerprint: String,
        suspect: Suspect,
    ) {
        suspects.remove(fingerprint)
        suspects[fingerprint] = suspect
        if (suspects.size <= limits.maximumSuspects) return
        // A blocked request is proved dangerous and stays longer than the many that shared one crash.
        val dropped = suspects.entries.firstOrNull { !it.value.blocked } ?: suspects.entries.first()
        suspects.remove(dropped.key)
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
