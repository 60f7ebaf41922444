package io.kumquattrail.measure.idempotency

import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import kotlin.random.Random

private const val MAXIMUM_OCCURRENCE = 4
private const val REPETITIONS = 3

/** Counts runs and false refusals of keyed calls under every pair of faults at every pair of steps. */
class AtMostOnceMeasurement(
    private val policies: List<DeliveryPolicy> = listOf(KeyTableDelivery, HashOverKnownServers, ForwardWithRetry),
) : Measurement {
    override val name = "at-most-once"
    override val summary = "Counts double runs and false refusals of keyed calls under pairs of faults."

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val totals = mutableMapOf<Pair<DeliveryPolicy, Boolean>, Counts>()
        val rows =
            policies.flatMap { policy ->
                options.progress("at-most-once: ${policy.name}")
                faultPairs().flatMap { pair -> rows(policy, pair, options.seed, totals) }
            }
        val target = totals.filterKeys { (policy, _) -> policy == KeyTableDelivery }.values
        return mapOf(
            "seed" to options.seed,
            "targets_met" to target.all { it.meetsTargets },
            "totals" to totals.map { (group, counts) -> total(group.first, issuedKeys = group.second, counts) },
            "results" to rows.map { it.toMap() },
        )
    }

    private fun total(
        policy: DeliveryPolicy,
        issuedKeys: Boolean,
        counts: Counts,
    ): Map<String, Any?> =
        mapOf("policy" to policy.name, "key_kind" to if (issuedKeys) "issued" else "caller") +
            counts.toMap() +
            mapOf("keys_answered_share" to counts.answered.toDouble() / counts.keys)

    private fun faultPairs(): List<Pair<Fault, Fault>> =
        Fault.entries.flatMap { first -> Fault.entries.filter { it >= first }.map { first to it } }

    /** Returns one row for each step of the first fault, or a single one when double runs and false answers agree. */
    private fun rows(
        policy: DeliveryPolicy,
        pair: Pair<Fault, Fault>,
        seed: Long,
        totals: MutableMap<Pair<DeliveryPolicy, Boolean>, Counts>,
    ): List<Row> {
        val label = "${pair.first.label}+${pair.second.label}"
        val rows =
            CallStep.entries.map { step ->
                val counts = CallStep.entries.map { count(policy, pair, step, it, seed, totals) }.reduce(Counts::plus)
                Row(policy.name, label, step.label, counts)
            }
        val differs =
            rows.distinctBy { listOf(it.counts.doubleRuns, it.counts.falseNotRun, it.counts.mostRuns) }.size > 1
        return if (differs) {
            rows
        } else {
            listOf(
                rows.reduce { all, row ->
                    all.copy(step = "all", counts = all.counts + row.counts)
                },
            )
        }
    }

    private fun count(
        policy: DeliveryPolicy,
        pair: Pair<Fault, Fault>,
        firstStep: CallStep,
        secondStep: CallStep,
        seed: Long,
        totals: MutableMap<Pair<DeliveryPolicy, Boolean>, Counts>,
    ): Counts {
        val variants =
            TicketUse.entries.flatMap { ticketUse ->
                listOf(false, true).flatMap { issuedKey -> List(REPETITIONS) { Triple(ticketUse, issuedKey, it) } }
            }
        return variants
            .map { (ticketUse, issuedKey, repetition) ->
                val parts = listOf(seed, pair, firstStep, secondStep, ticketUse, issuedKey, repetition)
                val scenarioSeed = parts.fold(0L, ::mix)
                val random = Random(scenarioSeed)
                val faults =
                    listOf(
                        PlannedFault(pair.first, firstStep, random.nextInt(1, MAXIMUM_OCCURRENCE)),
                        PlannedFault(pair.second, secondStep, random.nextInt(1, MAXIMUM_OCCURRENCE)),
                    )
                val scenario = Scenario(scenarioSeed, faults, issuedKey, ticketUse)
                val counts = Counts.of(CallSimulation(scenario, policy).run())
                totals.merge(policy to (issuedKey && policy.issuesKeys), counts, Counts::plus)
                counts
            }.reduce(Counts::plus)
    }

    private fun mix(
        hash: Long,
        part: Any,
    ): Long {
        val value =
            when (part) {
                is Number -> part.toLong()
                is Pair<*, *> -> mix(mix(0, checkNotNull(part.first)), checkNotNull(part.second))
                is Enum<*> -> part.ordinal.toLong()
                else -> if (part == true) 1 else 0
            }
        return Random(hash * MIX_MULTIPLIER + value).nextLong()
    }

    private companion object {
        const val MIX_MULTIPLIER = 1_000_003L
    }
}

private data class Row(
    val policy: String,
    val faults: String,
    val step: String,
    val counts: Counts,
) {
    fun toMap(): Map<String, Any?> = mapOf("policy" to policy, "faults" to faults, "step" to step) + counts.toMap()
}

private data class Counts(
    val calls: Int,
    val keys: Int,
    val mostRuns: Int,
    val doubleRuns: Int,
    val falseNotRun: Int,
    val refusedUnknown: Int,
    val refusedNotRun: Int,
    val answered: Int,
) {
    val meetsTargets: Boolean get() = doubleRuns == 0 && falseNotRun == 0

    operator fun plus(other: Counts): Counts =
        Counts(
            calls = calls + other.calls,
            keys = keys + other.keys,
            mostRuns = maxOf(mostRuns, other.mostRuns),
            doubleRuns = doubleRuns + other.doubleRuns,
            falseNotRun = falseNotRun + other.falseNotRun,
            refusedUnknown = refusedUnknown + other.refusedUnknown,
            refusedNotRun = refusedNotRun + other.refusedNotRun,
            answered = answered + other.answered,
        )

    fun toMap(): Map<String, Any?> =
        mapOf(
            "calls" to calls,
            "keys" to keys,
            "runs_max_per_key" to mostRuns,
            "double_runs" to doubleRuns,
            "false_not_run" to falseNotRun,
            "refused_unknown_share" to refusedUnknown.toDouble() / calls,
            "refused_not_run_share" to refusedNotRun.toDouble() / calls,
        )

    companion object {
        fun of(result: ScenarioResult): Counts =
            Counts(
                calls = result.calls,
                keys = 1,
                mostRuns = result.runs,
                doubleRuns = if (result.runs > 1) 1 else 0,
                falseNotRun = result.falseNotRun,
                refusedUnknown = result.refusedUnknown,
                refusedNotRun = result.refusedNotRun,
                answered = if (result.answered) 1 else 0,
            )
    }
}
