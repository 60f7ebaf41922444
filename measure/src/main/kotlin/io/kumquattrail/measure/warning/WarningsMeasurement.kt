package io.kumquattrail.measure.warning

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.warning.BurnRateWarnings
import io.kumquattrail.decision.warning.WarningPolicy
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import kotlin.random.Random

/** Measures precision, recall and delay of warnings over seeded days against a plain threshold. */
object WarningsMeasurement : Measurement {
    private const val DAYS = 4
    private const val LEAST_RECALL = 0.95
    private const val MOST_DELAY_SECONDS = 30.0
    private const val PRODUCT = "burn_rate"
    private val POLICIES =
        mapOf<String, (ProcessName) -> WarningPolicy>(
            PRODUCT to { BurnRateWarnings(it) },
            "plain_threshold" to { PlainThresholdWarnings(it) },
        )

    override val name: String = "warnings"

    override val summary: String = "Precision, recall and delay of warnings over days with real and harmless events."

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val outcomes =
            POLICIES.mapValues { (_, policy) ->
                (0 until DAYS)
                    .map { DaySimulation(policy, Random(options.seed * DAYS + it)).run() }
                    .reduce(DayOutcome::plus)
            }
        val product = outcomes.getValue(PRODUCT)
        return mapOf(
            "measurement" to name,
            "seed" to options.seed,
            "days" to DAYS,
            "results" to outcomes.map { (label, outcome) -> mapOf("policy" to label) + outcome.toMap() },
            "targets_met" to
                (
                    product.precision == 1.0 && product.recall >= LEAST_RECALL &&
                        product.delayP95Seconds <= MOST_DELAY_SECONDS
                ),
        )
    }
}
