package io.kumquattrail.measure.limit

import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Measures fair shares, quotas and goodput under overload against simpler policies. */
object LimitsMeasurement : Measurement {
    private const val LEAST_GOODPUT_RATIO = 0.95
    private val LOADS = listOf(0.5, 1.0, 2.0, 5.0)
    private val GATEWAYS_BY_ORGANISATIONS = mapOf(10 to 8, 5_000 to 32)
    private const val THREADS = 4
    private const val OWNER = "owner"

    /** Policies without messages need no rounds of messages before they are measured. */
    private val SHORT_WARM_UP = 60.seconds
    private val QUOTAS =
        mapOf(
            OWNER to LimitPolicy.OWNER_QUOTA,
            "estimated" to LimitPolicy.ESTIMATED_QUOTA,
            "static" to LimitPolicy.STATIC_QUOTA,
        )
    private val QUOTA_SIZES =
        listOf(
            QuotaSize(10, 8, 200.0, 60.seconds, GatewayChange.entries),
            QuotaSize(5_000, 320, 1_900.0, 330.seconds, listOf(GatewayChange.RESTARTS)),
        )

    override val name: String = "limits"

    override val summary: String = "Fair shares, quotas, shedding and retries at 0.5 to 5 times capacity."

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val quotaTasks =
            QUOTAS.flatMap { (label, factory) ->
                QUOTA_SIZES.flatMap { size ->
                    size.changes.map { change -> { quotaRow(label, factory, size, change, options) } }
                }
            }
        val rowTasks =
            LimitPolicy.all.flatMap { policy ->
                GATEWAYS_BY_ORGANISATIONS.flatMap { (organisations, gateways) ->
                    LOADS.map { load -> { row(policy, organisations, gateways, load, options) } }
                }
            }
        val outcomes = inParallel(quotaTasks + rowTasks)
        val quotas = outcomes.take(quotaTasks.size)
        val rows = outcomes.filterIsInstance<Row>()
        return mapOf(
            "measurement" to name,
            "seed" to options.seed,
            "results" to rows.map { it.toMap() },
            "quota_results" to quotas,
            "targets_met" to
                targetsMet(rows.filter { it.policy === LimitPolicy.PRODUCT }),
        )
    }

    private fun row(
        policy: LimitPolicy,
        organisations: Int,
        gateways: Int,
        load: Double,
        options: MeasurementOptions,
    ): Row {
        val outcome = LimitSimulation(policy, organisations, gateways, load, options.seed).run()
        return Row(policy, organisations, load, outcome).also { options.progress(it.toMap().toString()) }
    }

    private fun quotaRow(
        label: String,
        factory: QuotaFactory,
        size: QuotaSize,
        change: GatewayChange,
        options: MeasurementOptions,
    ): Map<String, Any?> {
        val simulation =
            QuotaSimulation(
                quota = factory,
                organisationCount = size.organisations,
                gatewayCount = size.gateways,
                requestsPerSecond = size.requestsPerSecond,
                change = change,
                warmUp = if (label == OWNER) size.warmUp else SHORT_WARM_UP,
                seed = options.seed,
            )
        val outcome = simulation.run()
        return mapOf(
            "policy" to label,
            "organisations" to size.organisations,
            "gateways" to size.gateways,
            "change" to change.label,
            "quota_error" to outcome.error,
            "quota_excess" to outcome.excess,
            "worst_excess_10_s" to outcome.worstExcess,
            "refused_below_limit" to outcome.refusedBelowLimit,
            "bytes_per_second_per_process" to outcome.bytesPerSecond,
        ).also { options.progress(it.toString()) }
    }

    /** Runs independent simulations side by side; each has its own seed, so the order has no effect. */
    private fun <T> inParallel(tasks: List<() -> T>): List<T> {
        val pool = Executors.newFixedThreadPool(THREADS)
        try {
            return pool.invokeAll(tasks.map { Callable(it) }).map { it.get() }
        } finally {
            pool.shutdown()
        }
    }

    private fun targetsMet(rows: List<Row>): Boolean =
        rows.groupBy { it.organisations }.values.all { sameSize ->
            val goodputs = sameSize.associate { it.load to it.outcome.goodput }
            goodputs.getValue(LOADS.last()) >= LEAST_GOODPUT_RATIO * goodputs.getValue(1.0) &&
                sameSize.all { it.outcome.starved == 0 }
        }

    private class QuotaSize(
        val organisations: Int,
        val gateways: Int,
        val requestsPerSecond: Double,
        val warmUp: Duration,
        val changes: List<GatewayChange>,
    )

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
