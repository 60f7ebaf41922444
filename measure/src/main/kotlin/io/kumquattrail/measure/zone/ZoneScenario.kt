package io.kumquattrail.measure.zone

import io.kumquattrail.decision.admission.ServerLimits
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.routing.RoutingPolicy
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.routing.AgentModel
import io.kumquattrail.measure.routing.Call
import io.kumquattrail.measure.routing.CallEnd
import io.kumquattrail.measure.routing.EventQueue
import io.kumquattrail.measure.routing.FleetModel
import io.kumquattrail.measure.routing.FleetOptions
import io.kumquattrail.measure.routing.ModelRequest
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Lists the sizes of the users' fleets.
 *
 * @property requestsPerSecond requests to the model service; without a zone, the capacity for them suffices for
 *   [HANBIT] and does not for [AGENCY].
 */
internal enum class ZoneSize(
    val label: String,
    val requestsPerSecond: Double,
) {
    HANBIT("hanbit", 48.0),
    AGENCY("agency", 120.0),
}

/** Lists the faults that happen while the zone leaves. */
internal enum class ZoneFault(
    val label: String,
) {
    NONE("none"),
    SERVER_CRASH("server_crash"),
    SILENT_COLD("silent_cold"),
    GATEWAY_PAUSE("gateway_pause"),
    LATE_REPORTS("late_reports"),
}

/** Holds the figures of one run of a [ZoneScenario]. */
internal data class ZoneOutcome(
    val calls: Int,
    val completed: Int,
    val refusedNotRun: Int,
    val refusedUnknown: Int,
    val firstTokenMilliseconds: List<Double>,
    val firstTokenP99BeforeMilliseconds: Double,
    val newWorkAfterOut: Duration,
    val cutOff: Int,
    val torn: Int,
    val doubleRuns: Int,
    val coldLimitViolations: Int,
    val tokensWhileOut: Long,
)

/**
 * Takes an availability zone out of service and returns it, with its servers restarted meanwhile and so cold.
 *
 * A model service and a plain service whose calls must not be repeated run side by side.
 *
 * @property isReference whether the zone is out of service from the start, to measure what the rest bears.
 */
internal class ZoneScenario(
    private val seed: Long,
    private val size: ZoneSize,
    private val fault: ZoneFault,
    private val policy: (Random, ZoneName) -> RoutingPolicy,
    private val isReference: Boolean = false,
) {
    private val random = Random(seed + 17)
    private val events = EventQueue()
    private val models = FleetModel(options(MODEL_RUNNERS, size.requestsPerSecond, FleetOptions.MODEL_LIMITS), events)
    private val ledgers = FleetModel(options(LEDGERS, LEDGER_REQUESTS_PER_SECOND, LEDGER_LIMITS), events)
    private var calls = 0
    private var completed = 0
    private var refusedNotRun = 0
    private var refusedUnknown = 0
    private var cutOff = 0
    private var torn = 0
    private var doubleRuns = 0

    fun run(): ZoneOutcome {
        listOf(models, ledgers).forEach { it.onCallEnd = ::noteEnd }
        models.startTraffic()
        startLedgerTraffic()
        if (isReference) publish(inService = false)
        runUntil(WARM_UP)
        models.figures.startPeriod()
        runUntil(OUT_AT)
        val before = models.figures.firstTokenMilliseconds(99.0)
        models.figures.startPeriod()
        publish(inService = false)
        injectFault()
        runUntil(SETTLED_AT)
        val tokens = models.figures.outputTokens
        runUntil(BACK_AT)
        val tokensWhileOut = models.figures.outputTokens - tokens
        val newWork = leavingAgents().mapNotNull { it.lastSentAt }.maxOrNull()
        if (!isReference) publish(inService = true)
        runUntil(END_AT)
        return ZoneOutcome(
            calls = calls,
            completed = completed,
            refusedNotRun = refusedNotRun,
            refusedUnknown = refusedUnknown,
            firstTokenMilliseconds = listOf(50.0, 95.0, 99.0).map(models.figures::firstTokenMilliseconds),
            firstTokenP99BeforeMilliseconds = before,
            newWorkAfterOut = newWork?.let { it - at(OUT_AT) }?.coerceAtLeast(Duration.ZERO) ?: Duration.ZERO,
            cutOff = cutOff,
            torn = torn,
            doubleRuns = doubleRuns,
            coldLimitViolations = models.figures.coldLimitViolations + ledgers.figures.coldLimitViolations,
            tokensWhileOut = tokensWhileOut,
        )
    }

    private fun noteEnd(
        call: Call,
        end: CallEnd,
    ) {
        if (call.submittedAt < at(OUT_AT)) {
            if (end != CallEnd.COMPLETED && call.firstTokenAt != null) cutOff += 1
            return
        }
        calls += 1
        when (end) {
            CallEnd.COMPLETED -> completed += 1
            CallEnd.REFUSED_NOT_RUN -> refusedNotRun += 1
            CallEnd.REFUSED_UNKNOWN -> refusedUnknown += 1
        }
        if (end != CallEnd.COMPLETED && call.firstTokenAt != null) cutOff += 1
        if (end == CallEnd.COMPLETED && call.receivedTokens != call.request.outputTokens) torn += 1
        if (!call.request.isRepeatable && call.runs > 1) doubleRuns += 1
    }

    private fun publish(inService: Boolean) {
        listOf(models, ledgers).forEach { it.publishZone(ZONE, inService, ::publicationDelay) }
        if (!inService) leavingAgents().forEach(::restartWhenDrained)
    }

    /** Restarts a server that operators took out of service, as for a new version, once nothing is in progress. */
    private fun restartWhenDrained(agent: AgentModel) {
        events.after(RESTART_AFTER) {
            if (agent.model.running == 0) agent.model.crash() else restartWhenDrained(agent)
        }
    }

    private fun leavingAgents() = (models.agents.values + ledgers.agents.values).filter { it.zone == ZONE }

    /** Delay until one process knows a published record; the measurement `configuration` gives it at full size. */
    private fun publicationDelay(): Duration =
        (MEAN_PUBLICATION * -ln(1 - random.nextDouble())).coerceAtMost(LONGEST_PUBLICATION)

    private fun injectFault() {
        val staying = models.agents.values.filter { it.zone != ZONE }
        when (fault) {
            ZoneFault.NONE -> {
                Unit
            }

            ZoneFault.SERVER_CRASH -> {
                events.after(FAULT_AFTER) {
                    staying.random(random).model.crash()
                    ledgers.agents.values
                        .first { it.zone != ZONE }
                        .model
                        .crash()
                }
            }

            ZoneFault.SILENT_COLD -> {
                events.after(FAULT_AFTER) {
                    staying.random(random).model.becomeColdSilently(graceTime = FIRST_TOKEN_BOUND)
                }
            }

            ZoneFault.GATEWAY_PAUSE -> {
                listOf(models, ledgers).forEach { it.gateways.first().pause(GATEWAY_PAUSE) }
            }

            ZoneFault.LATE_REPORTS -> {
                models.reportAge = LATE_REPORT_AGE
            }
        }
    }

    private fun startLedgerTraffic() {
        events.after((-ln(1 - random.nextDouble()) / LEDGER_REQUESTS_PER_SECOND).seconds) {
            val request =
                ModelRequest(
                    organisation = OrganisationName("organisation-${random.nextInt(ORGANISATIONS)}"),
                    promptTokens = LEDGER_PROMPT_TOKENS,
                    outputTokens = LEDGER_OUTPUT_TOKENS,
                    prefix = emptyList(),
                    isRepeatable = false,
                )
            ledgers.submit(request, ledgers.gateways.random(random))
            startLedgerTraffic()
        }
    }

    private fun options(
        runners: Int,
        requestsPerSecond: Double,
        limits: ServerLimits,
    ) = FleetOptions(
        seed = seed,
        runners = runners,
        gateways = GATEWAYS,
        organisations = ORGANISATIONS,
        requestsPerSecond = requestsPerSecond,
        reportAge = REPORT_AGE,
        slowShare = 0.0,
        limits = limits,
        policy = policy,
    )

    private fun runUntil(time: Duration) = events.runUntil(at(time))

    private fun at(time: Duration) = MonotonicTime.ZERO + time

    companion object {
        private const val MODEL_RUNNERS = 16
        private const val LEDGERS = 3
        private const val GATEWAYS = 6
        private const val ORGANISATIONS = 10
        private const val LEDGER_REQUESTS_PER_SECOND = 60.0
        private const val LEDGER_PROMPT_TOKENS = 20
        private const val LEDGER_OUTPUT_TOKENS = 6
        private val LEDGER_LIMITS =
            ServerLimits(warmConcurrency = 16, warmTokens = 4_000, coldConcurrency = 4, coldTokens = 1_000)
        private val ZONE = ZoneName("zone-0")
        private val REPORT_AGE = 500.milliseconds
        private val LATE_REPORT_AGE = 5.seconds
        private val WARM_UP = 15.seconds
        private val OUT_AT = 45.seconds
        private val SETTLED_AT = 55.seconds
        private val BACK_AT = 75.seconds
        private val END_AT = 100.seconds
        private val RESTART_AFTER = 8.seconds
        private val FAULT_AFTER = 700.milliseconds
        private val GATEWAY_PAUSE = 4.seconds
        private val FIRST_TOKEN_BOUND = 1_600.milliseconds
        private val MEAN_PUBLICATION = 300.milliseconds
        private val LONGEST_PUBLICATION = 1_500.milliseconds

        /** Time over which [ZoneOutcome.tokensWhileOut] is counted, in seconds. */
        val COUNTED_SECONDS = (BACK_AT - SETTLED_AT).toDouble(DurationUnit.SECONDS)
    }
}
