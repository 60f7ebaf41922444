package io.kumquattrail.measure.warning

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.warning.InvariantViolation
import io.kumquattrail.decision.warning.ServiceLevelSample
import io.kumquattrail.decision.warning.Warning
import io.kumquattrail.decision.warning.WarningAction
import io.kumquattrail.decision.warning.WarningId
import io.kumquattrail.decision.warning.WarningKind
import io.kumquattrail.decision.warning.WarningPolicy
import io.kumquattrail.decision.warning.WarningReport
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Raises when one process's share of missed requests in one minute passes a threshold, as the baseline. */
internal class PlainThresholdWarnings(
    private val self: ProcessName,
) : WarningPolicy {
    private val counts = HashMap<WarningId, LongArray>()
    private val active = HashSet<WarningId>()
    private val violations = ArrayList<InvariantViolation>()
    private var seconds = 0

    override fun updateProcesses(count: Int) = Unit

    override fun recordServiceLevel(
        sample: ServiceLevelSample,
        now: MonotonicTime,
    ) {
        val count = counts.getOrPut(WarningId(sample.kind, sample.service.value)) { LongArray(2) }
        count[0] += sample.good
        count[1] += sample.bad
    }

    override fun recordViolation(
        violation: InvariantViolation,
        now: MonotonicTime,
    ) {
        violations += violation
    }

    override fun recordAutomaticAction(
        service: ServiceName,
        expectedEnd: MonotonicTime,
        now: MonotonicTime,
    ) = Unit

    override fun hear(
        report: WarningReport,
        now: MonotonicTime,
    ) = Unit

    override fun tick(now: MonotonicTime): List<WarningAction> {
        val raised =
            violations.map { raise(WarningId(WarningKind.GUARANTEE_VIOLATED, "${it.guarantee}/${it.subject}"), now) }
        violations.clear()
        seconds += 1
        if (seconds % INTERVAL_SECONDS != 0) return raised
        val changes =
            counts.mapNotNull { (id, count) ->
                val allowed = 1.0 - checkNotNull(id.kind.objective)
                val isMissed = count[1] > allowed * (count[0] + count[1])
                count.fill(0)
                when {
                    isMissed && active.add(id) -> raise(id, now)
                    !isMissed && active.remove(id) -> WarningAction.Clear(id)
                    else -> null
                }
            }
        return raised + changes
    }

    override fun report(now: MonotonicTime): WarningReport = WarningReport(self, persistentSetOf(), persistentSetOf())

    private fun raise(
        id: WarningId,
        now: MonotonicTime,
    ): WarningAction = WarningAction.Raise(Warning(id, "Threshold passed at $self.", persistentMapOf(), now))

    private companion object {
        const val INTERVAL_SECONDS = 60
    }
}
