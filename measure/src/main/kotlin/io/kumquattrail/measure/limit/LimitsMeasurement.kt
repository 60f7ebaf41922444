package io.kumquattrail.measure.limit

import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions

/** Measures fair shares, quotas and goodput under overload against simpler policies. */
object LimitsMeasurement : Measurement {
    private const val LEAST_GOODPUT_RATIO = 0.95
    private val LOADS = listOf(0.5, 1.0, 2.0, 5.0)
    private val GATEWAYS_BY_ORGANISATIONS = mapOf(10 to 8, 5_000 to 32)

    override val name: String = "limits"

    override val summary: String = "Fair shares, quotas, shedding and retries at 0.5 to 5 times capacity."

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val rows =
            LimitPolicy.all.flatMap { policy ->
                GATEWAYS_BY_ORGANISATIONS.flatMap { (organisations, gateways) ->
                    LOADS.map { load ->
                        val outcome = LimitSimulation(policy, organisations, gateways, load, options.seed).run()
                        Row(policy, organisations, load, outcome).also { options.progress(it.toMap().toString()) }
                    }
                }
            }
        return mapOf(
            "measurement" to name,
            "seed" to options.seed,
            "results" to rows.map { it.toMap() },
            "targets_met" to targetsMet(rows.filter { it.policy === LimitPolicy.PRODUCT }),
        )
    }

    private fun targetsMet(rows: List<Row>): Boolean =
        rows.groupBy { it.organisations }.values.all { sameSize ->
            val goodputs = sameSize.associate { it.load to it.outcome.goodput }
            goodputs.getValue(LOADS.last()) >= LEAST_GOODPUT_RATIO * goodputs.getValue(1.0) &&
                sameSize.all { it.outcome.starved == 0 }
        }

    private class Row(
        val policy: LimitPolicy,
        val organisations: Int,
        val load: Double,
        val outcome: LimitOutcome,
    ) {
        fun toMap(): Map<String, Any?> =
            mapOf(
                "policy" to policy.label,
                "organisations" to organisations,
                "load" to load,
                "share_error_mean" to outcome.shareErrorMean,
                "share_error_p99" to outcome.shareErrorP99,
                "starved" to outcome.starved,
                "goodput" to outcome.goodput,
                "goodput_of_capacity" to outcome.goodputOfCapacity,
                "shed_low_priority_first" to outcome.shedLowPriorityFirst,
                "quota_error" to outcome.quotaError,
                "quota_excess" to outcome.quotaExcess,
                "quota_bytes_per_second" to outcome.quotaBytesPerSecond,
            )
    }
}
