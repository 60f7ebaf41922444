package io.kumquattrail.measure.warning

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.warning.InvariantViolation
import io.kumquattrail.decision.warning.ServiceLevelSample
import io.kumquattrail.decision.warning.WarningAction
import io.kumquattrail.decision.warning.WarningId
import io.kumquattrail.decision.warning.WarningKind
import io.kumquattrail.decision.warning.WarningPolicy
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Runs the warning policies of several gateways through one day; they hear each other's reports with a delay. */
internal class DaySimulation(
    policy: (ProcessName) -> WarningPolicy,
    private val random: Random,
) {
    private val processes = List(GATEWAYS) { policy(ProcessName("10.0.0.${it + 1}:7000")) }
    private val services = listOf(ServiceName("drafting"), ServiceName("ledger"))
    private val events = DayEvent.day(DAY_SECONDS, services.size, random)
    private val raisedAt = ArrayList<Pair<WarningId, Int>>()
    private val open = HashSet<WarningId>()

    fun run(): DayOutcome {
        processes.forEach { it.updateProcesses(GATEWAYS) }
        for (second in 0 until DAY_SECONDS) step(second)
        return outcome()
    }

    private fun step(second: Int) {
        val now = MonotonicTime.ZERO + second.seconds
        val current = events.filter { second in it.startSecond until it.endSecond }
        current.filter { it.startSecond == second }.forEach { start(it, now) }
        processes.forEachIndexed { index, process ->
            services.forEachIndexed { service, name ->
                LEVELS.forEach { kind ->
                    val event =
                        current.find {
                            it.kind == kind && it.service == service &&
                                index < (it.processes ?: GATEWAYS)
                        }
                    process.recordServiceLevel(sample(name, kind, event), now)
                }
            }
            process.tick(now).forEach { note(it, second) }
        }
        if (second % EXCHANGE_SECONDS == 0) exchange(now)
    }

    private fun start(
        event: DayEvent,
        now: MonotonicTime,
    ) {
        if (event.kind == WarningKind.GUARANTEE_VIOLATED) {
            val violation = InvariantViolation("P6", keyOf(event), persistentMapOf("runs" to "2"))
            processes.take(2).forEach { it.recordViolation(violation, now) }
        }
        if (event.isAnnounced) {
            processes.forEach { it.recordAutomaticAction(services[event.service], now + event.seconds.seconds, now) }
        }
    }

    private fun exchange(now: MonotonicTime) {
        val reports = processes.map { it.report(now) }
        processes.forEach { process ->
            reports.filter { random.nextDouble() >= LOSS }.forEach { process.hear(it, now) }
        }
    }

    private fun sample(
        service: ServiceName,
        kind: WarningKind,
        event: DayEvent?,
    ): ServiceLevelSample {
        val usual = if (kind == WarningKind.REQUESTS_FAILING) USUAL_FAILING else USUAL_LATE
        val share = maxOf(usual, event?.badShare ?: 0.0)
        val bad = (1..REQUESTS_PER_SECOND).count { random.nextDouble() < share }
        return ServiceLevelSample(service, kind, good = (REQUESTS_PER_SECOND - bad).toLong(), bad = bad.toLong())
    }

    /** Operators see a warning of the same identifier once while it is open. */
    private fun note(
        action: WarningAction,
        second: Int,
    ) {
        when (action) {
            is WarningAction.Raise -> if (open.add(action.warning.id)) raisedAt += action.warning.id to second
            is WarningAction.Clear -> open.remove(action.id)
        }
    }

    private fun outcome(): DayOutcome {
        val real = events.filter { it.needsOperator }
        val matched = real.associateWith { event -> raisedAt.filter { matches(event, it) } }
        val falseWarnings = raisedAt.filter { raised -> real.none { matches(it, raised) } }
        return DayOutcome(
            events = real.size,
            harmless = events.size - real.size,
            warnings = raisedAt.size,
            delaysSeconds =
                matched.mapNotNull { (event, raised) ->
                    raised.firstOrNull()?.let {
                        it.second -
                            event.startSecond
                    }
                },
            falseByEvent = falseWarnings.groupingBy { labelAt(it.second) }.eachCount(),
            missedByEvent =
                matched
                    .filterValues { it.isEmpty() }
                    .keys
                    .groupingBy { it.label }
                    .eachCount(),
        )
    }

    private fun matches(
        event: DayEvent,
        raised: Pair<WarningId, Int>,
    ): Boolean =
        raised.first == WarningId(event.kind, subjectOf(event)) &&
            raised.second in event.startSecond..event.endSecond + SLACK_SECONDS

    private fun subjectOf(event: DayEvent): String =
        if (event.kind == WarningKind.GUARANTEE_VIOLATED) {
            "P6/${keyOf(event)}"
        } else {
            services[event.service].value
        }

    private fun keyOf(event: DayEvent): String = "key-${event.startSecond}"

    private fun labelAt(second: Int): String =
        events.find { second in it.startSecond..it.endSecond + SLACK_SECONDS }?.label ?: "nothing"

    private companion object {
        const val GATEWAYS = 4
        const val DAY_SECONDS = 86_400
        const val REQUESTS_PER_SECOND = 12
        const val EXCHANGE_SECONDS = 1
        const val LOSS = 0.05
        const val USUAL_LATE = 0.015
        const val USUAL_FAILING = 0.001
        const val SLACK_SECONDS = 60
        val LEVELS = WarningKind.entries.filter { it.objective != null }
    }
}
