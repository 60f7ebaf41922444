package io.kumquattrail.decision.warning

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableSet
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Warns when a service level is missed in a short and a long window at several processes, and at once when a guarantee
 * is violated.
 *
 * Warnings need no leader: all processes derive the same identifier from the same cause, announce it in the order of
 * rendezvous hashing over the processes that see it, and stay silent once they hear that a peer has raised it. Processes
 * whose views differ may both raise it, with the same identifier.
 */
class BurnRateWarnings(
    private val self: ProcessName,
    private val settings: BurnRateSettings = BurnRateSettings(),
) : WarningPolicy {
    private val levels = HashMap<WarningId, Level>()
    private val violations = LinkedHashMap<WarningId, Violation>()
    private val graces = HashMap<String, Grace>()
    private val burningPeers = HashMap<WarningId, HashMap<ProcessName, MonotonicTime>>()
    private val heard = HashMap<WarningId, MonotonicTime>()
    private val raised = HashMap<WarningId, MonotonicTime>()
    private var processes = 1

    override fun updateProcesses(count: Int) {
        processes = maxOf(1, count)
    }

    override fun recordServiceLevel(
        sample: ServiceLevelSample,
        now: MonotonicTime,
    ) {
        val id = WarningId(sample.kind, sample.service.value)
        levels.getOrPut(id) { Level(settings) }.window.add(sample.good, sample.bad, now)
    }

    override fun recordViolation(
        violation: InvariantViolation,
        now: MonotonicTime,
    ) {
        val id = WarningId(WarningKind.GUARANTEE_VIOLATED, "${violation.guarantee}/${violation.subject}")
        violations[id] = Violation(violation, now)
    }

    override fun recordAutomaticAction(
        service: ServiceName,
        expectedEnd: MonotonicTime,
        now: MonotonicTime,
    ) {
        val known = graces[service.value]?.takeIf { now < it.end }
        val start = known?.start ?: now
        graces[service.value] =
            Grace(start, minOf(start + settings.longestGrace, maxOf(expectedEnd, known?.end ?: now)))
    }

    override fun hear(
        report: WarningReport,
        now: MonotonicTime,
    ) {
        if (report.process == self) return
        burningPeers.values.forEach { it.remove(report.process) }
        report.burning.forEach { burningPeers.getOrPut(it) { HashMap() }[report.process] = now }
        burningPeers.values.removeAll { it.isEmpty() }
        report.active.forEach { heard[it] = now }
    }

    override fun tick(now: MonotonicTime): List<WarningAction> {
        heard.values.removeAll { now - it > settings.validity }
        violations.values.removeAll { now - it.at > settings.clearAfter }
        return raiseLevels(now) + raiseViolations(now) + clear(now)
    }

    override fun report(now: MonotonicTime): WarningReport =
        WarningReport(
            process = self,
            burning = levels.filterValues { it.burningSince != null }.keys.toImmutableSet(),
            active = raised.keys.toImmutableSet(),
        )

    private fun raiseLevels(now: MonotonicTime): List<WarningAction> =
        levels.mapNotNull { (id, level) ->
            level.update(id, now)
            val isHeldBack = graces[id.subject]?.let { now < it.end + settings.shortWindow } ?: false
            val isDue = !isHeldBack && isCorroborated(id, level, now)
            val due = level.dueSince(isDue, now) ?: return@mapNotNull null
            if (isActive(id) || now - due < announcementDelay(id)) return@mapNotNull null
            raise(id, "${id.subject} misses its service level ${id.kind.label}.", level.evidence(now), now)
        }

    private fun raiseViolations(now: MonotonicTime): List<WarningAction> =
        violations.mapNotNull { (id, violation) ->
            if (isActive(id)) return@mapNotNull null
            val proof = violation.violation
            raise(id, "Guarantee ${proof.guarantee} was violated on ${proof.subject}.", proof.evidence, now)
        }

    private fun raise(
        id: WarningId,
        cause: String,
        evidence: ImmutableMap<String, String>,
        now: MonotonicTime,
    ): WarningAction {
        raised[id] = now
        return WarningAction.Raise(Warning(id, cause, evidence, now))
    }

    private fun clear(now: MonotonicTime): List<WarningAction> =
        raised.keys
            .filter { id -> id !in violations && levels[id]?.hasRecovered(now) != false }
            .map { id ->
                raised.remove(id)
                WarningAction.Clear(id)
            }

    private fun isActive(id: WarningId): Boolean = id in raised || id in heard

    /** A single process that sees failures may itself be faulty, and callers use the others. */
    private fun isCorroborated(
        id: WarningId,
        level: Level,
        now: MonotonicTime,
    ): Boolean {
        if (level.burningSince == null) return false
        val peers = burningPeers[id]?.values?.count { now - it <= settings.validity } ?: 0
        val least = if (processes < PROCESSES_FOR_TWO) 1 else 2
        return peers + 1 >= maxOf(least, ceil(processes * settings.corroboratingShare).toInt())
    }

    private fun announcementDelay(id: WarningId): Duration {
        val peers = burningPeers[id]?.keys.orEmpty()
        val rank = RendezvousHash.rank(id.toString(), peers + self) { it.value }.indexOf(self)
        return settings.raiseStep * minOf(rank, MOST_RANK)
    }

    private data class Grace(
        val start: MonotonicTime,
        val end: MonotonicTime,
    )

    private data class Violation(
        val violation: InvariantViolation,
        val at: MonotonicTime,
    )

    private class Level(
        private val settings: BurnRateSettings,
    ) {
        val window = RequestWindow(settings.longWindow.toDouble(DurationUnit.SECONDS).toInt())
        var burningSince: MonotonicTime? = null
            private set
        private var due: MonotonicTime? = null
        private var lastMissed: MonotonicTime? = null

        fun update(
            id: WarningId,
            now: MonotonicTime,
        ) {
            val allowed = 1.0 - checkNotNull(id.kind.objective)
            val short = window.over(settings.shortWindow, now)
            val long = window.over(settings.longWindow, now)
            if (short.badShare > allowed) lastMissed = now
            val isBurning =
                short.bad >= settings.leastBadRequests &&
                    short.badShare >= allowed * settings.shortBurnRate &&
                    long.badShare >= allowed * settings.longBurnRate
            burningSince = if (isBurning) burningSince ?: now else null
        }

        fun dueSince(
            isDue: Boolean,
            now: MonotonicTime,
        ): MonotonicTime? {
            due = if (isDue) due ?: now else null
            return due
        }

        fun hasRecovered(now: MonotonicTime): Boolean = lastMissed?.let { now - it >= settings.clearAfter } ?: true

        fun evidence(now: MonotonicTime): ImmutableMap<String, String> {
            val short = window.over(settings.shortWindow, now)
            val long = window.over(settings.longWindow, now)
            return persistentMapOf(
                "missed_in_${settings.shortWindow}" to "${short.bad} of ${short.good + short.bad}",
                "missed_in_${settings.longWindow}" to "${long.bad} of ${long.good + long.bad}",
            )
        }
    }

    private companion object {
        const val PROCESSES_FOR_TWO = 3
        const val MOST_RANK = 3
    }
}
