package io.kumquattrail.measure.zone

import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import io.kumquattrail.measure.routing.POLICIES
import io.kumquattrail.measure.routing.RoutingMeasurement.Companion.rounded
import io.kumquattrail.measure.routing.mapConcurrently
import kotlin.time.DurationUnit

/** Measures what callers notice while an availability zone leaves the service and returns cold. */
class ZoneMeasurement : Measurement {
    override val name: String = "zone-service"

    override val summary: String =
        "Measures the service while an availability zone leaves and returns, with one more fault at the same time."

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val cases = POLICIES.flatMap { (policy, _) -> ZoneSize.entries.map { policy to it } }
        val results =
            cases
                .mapConcurrently { (policy, size) -> rows(options.seed, policy, size) }
                .flatten()
                .onEach { options.progress(it.toString()) }
        return mapOf("seed" to options.seed, "results" to results, "targets_met" to targetsMet(results))
    }

    private fun rows(
        seed: Long,
        policy: String,
        size: ZoneSize,
    ): List<Map<String, Any?>> {
        val create = POLICIES.getValue(policy)
        return ZoneFault.entries.map { fault ->
            val bearable = ZoneScenario(seed, size, fault, create, isReference = true).run().tokensWhileOut
            row(policy, size, fault, ZoneScenario(seed, size, fault, create).run(), bearable)
        }
    }

    private fun row(
        policy: String,
        size: ZoneSize,
        fault: ZoneFault,
        outcome: ZoneOutcome,
        bearableTokens: Long,
    ): Map<String, Any?> =
        mapOf(
            "policy" to policy,
            "size" to size.label,
            "fault" to fault.label,
            "success_ratio" to rounded(outcome.completed.toDouble() / outcome.calls),
            "refused_not_run" to outcome.refusedNotRun,
            "refused_unknown" to outcome.refusedUnknown,
            "first_token_p50_ms" to rounded(outcome.firstTokenMilliseconds[0]),
            "first_token_p95_ms" to rounded(outcome.firstTokenMilliseconds[1]),
            "first_token_p99_ms" to rounded(outcome.firstTokenMilliseconds[2]),
            "first_token_p99_before_ms" to rounded(outcome.firstTokenP99BeforeMilliseconds),
            "new_work_after_out_ms" to outcome.newWorkAfterOut.toLong(DurationUnit.MILLISECONDS),
            "cut_off" to outcome.cutOff,
            "torn" to outcome.torn,
            "double_runs" to outcome.doubleRuns,
            "cold_limit_violations" to outcome.coldLimitViolations,
            "goodput_of_capacity" to rounded(outcome.tokensWhileOut.toDouble() / bearableTokens),
            "tokens_per_second_while_out" to rounded(outcome.tokensWhileOut / ZoneScenario.COUNTED_SECONDS),
        )

    private fun targetsMet(results: List<Map<String, Any?>>): Boolean =
        results.filter { it["policy"] == "token_cost" }.all { row ->
            val isSafe =
                listOf("cut_off", "torn", "double_runs", "cold_limit_violations").all { row[it] == 0 }
            val isQuick = row["new_work_after_out_ms"] as Long <= MAXIMUM_MILLISECONDS_AFTER_OUT
            isSafe && isQuick && isServiceKept(row)
        }

    private fun isServiceKept(row: Map<String, Any?>): Boolean =
        if (row["size"] == ZoneSize.HANBIT.label) {
            val before = row["first_token_p99_before_ms"] as Double
            row["first_token_p99_ms"] as Double <= MAXIMUM_GROWTH * before
        } else {
            row["goodput_of_capacity"] as Double >= MINIMUM_GOODPUT
        }

    private companion object {
        const val MAXIMUM_MILLISECONDS_AFTER_OUT = 2_000
        const val MAXIMUM_GROWTH = 1.25
        const val MINIMUM_GOODPUT = 0.95
    }
}
