package io.kumquattrail.measure.fleet

import io.kumquattrail.decision.configuration.ExchangeSettings
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Measures how long new processes take until they have the fleet's records in effect, without which they take no work.
 * The time for starting the program and opening connections is not part of it.
 *
 * The baseline `service_only` learns from the configuration service alone.
 */
object RecoveryMeasurement : Measurement {
    override val name = "recovery"
    override val summary = "Time until restarted processes are useful, and the bytes that it takes."

    private const val OWN_POLICY = "peers_first"
    private const val USEFUL_WITHIN_SECONDS = 7.0
    private val sizes = listOf(100, 400, 1_200)
    private val policies =
        mapOf(
            OWN_POLICY to ExchangeSettings(),
            "service_only" to
                ExchangeSettings(
                    fanout = 0,
                    narrowerFanout = 0,
                    compareInterval = 1.days,
                    peersAskedAtStart = 0,
                    readersPerZone = Int.MAX_VALUE,
                ),
        )

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val rows =
            policies.flatMap { (policy, settings) ->
                sizes.filter { policy == OWN_POLICY || it == sizes.max() }.flatMap { processes ->
                    Case.entries.map { case ->
                        options.progress("recovery: $policy, $processes processes, ${case.label}")
                        mapOf("policy" to policy, "processes" to processes, "case" to case.label) +
                            run(ConfigurationFleet(processes, options.seed, settings), case)
                    }
                }
            }
        val own = rows.filter { it["policy"] == OWN_POLICY }
        val growth =
            growthRows(own, listOf("seconds_until_useful_p50", "seconds_until_useful_worst", "bytes_per_process"))
        return mapOf(
            "measurement" to name,
            "seed" to options.seed,
            "results" to rows + growth,
            "targets_met" to
                mapOf(
                    "useful_within_seconds" to
                        own
                            .all {
                                it["restarted"] != 0 && it["never_useful"] == 0 &&
                                    (it["seconds_until_useful_worst"] as Double) <= USEFUL_WITHIN_SECONDS
                            }.toString(),
                    "confirmed_by_peers" to own.all { it["never_confirmed"] == 0 }.toString(),
                ),
        )
    }

    private fun run(
        fleet: ConfigurationFleet,
        case: Case,
    ): Map<String, Any?> {
        val useful = HashMap<Int, Double>()
        val confirmed = HashMap<Int, Double>()
        val bytes = HashMap<Int, Long>()
        val bytesAtStart = HashMap<Int, Long>()
        val restarted = case.restarted(fleet)
        fleet.inEffect = { node ->
            if (node.index in bytesAtStart && node.state.revision >= fleet.published.revision) {
                val since = (fleet.queue.now - node.startedAt).toDouble(DurationUnit.SECONDS)
                if (useful.putIfAbsent(node.index, since) == null) {
                    bytes[node.index] = fleet.network.bytes[node.index] - bytesAtStart.getValue(node.index)
                }
            }
        }
        fleet.confirmed = { node ->
            val since = (fleet.queue.now - node.startedAt).toDouble(DurationUnit.SECONDS)
            if (node.index in bytesAtStart) confirmed.putIfAbsent(node.index, since)
        }
        fleet.startWarm()
        fleet.queue.runUntil(MonotonicTime.ZERO + WARM_UP)
        if (case.isServiceDown) fleet.service.goDown()
        restarted.forEachIndexed { index, node ->
            val stop = WARM_UP + case.spacing * index
            fleet.queue.at(MonotonicTime.ZERO + stop) { node.stop() }
            fleet.queue.at(MonotonicTime.ZERO + stop + case.outage) {
                bytesAtStart[node.index] = fleet.network.bytes[node.index]
                node.restart()
            }
        }
        fleet.queue.runUntil(MonotonicTime.ZERO + WARM_UP + case.spacing * restarted.size + case.outage + REST)
        return mapOf(
            "restarted" to restarted.size,
            "seconds_until_useful_p50" to quantile(useful.values.toList(), 0.5).rounded(),
            "seconds_until_useful_worst" to quantile(useful.values.toList(), 1.0).rounded(),
            "seconds_until_confirmed_worst" to quantile(confirmed.values.toList(), 1.0).rounded(),
            "never_useful" to restarted.size - useful.size,
            "never_confirmed" to restarted.size - confirmed.size,
            "bytes_per_process" to if (bytes.isEmpty()) 0.0 else bytes.values.average().rounded(),
            "bytes_worst_process" to (bytes.values.maxOrNull() ?: 0),
            "reads_per_second_peak" to fleet.service.peakCallsPerSecond,
        )
    }

    private val WARM_UP: Duration = 5.seconds
    private val REST: Duration = 15.seconds

    /**
     * Lists the cases.
     *
     * @property outage time for which each process is down.
     * @property spacing time between the stops of two processes.
     */
    private enum class Case(
        val label: String,
        val outage: Duration,
        val spacing: Duration,
        val isServiceDown: Boolean = false,
    ) {
        SINGLE("single", outage = 2.seconds, spacing = 1.seconds) {
            override fun restarted(fleet: ConfigurationFleet) =
                fleet.nodes.filter { it.index % SINGLE_ONE_IN == 3 }.take(20)
        },
        SWITCH("switch", outage = 10.seconds, spacing = Duration.ZERO) {
            override fun restarted(fleet: ConfigurationFleet) =
                fleet.nodes
                    .filter { fleet.layout.zone(it.index) == 1 }
                    .let { zone -> zone.take(zone.size / RACKS_PER_ZONE) }
        },
        ZONE_RETURN("zone_return", outage = 30.seconds, spacing = 10.milliseconds) {
            override fun restarted(fleet: ConfigurationFleet) = fleet.nodes.filter { fleet.layout.zone(it.index) == 1 }
        },
        SERVICE_DOWN("service_down", outage = 10.seconds, spacing = 10.milliseconds, isServiceDown = true) {
            override fun restarted(fleet: ConfigurationFleet) = ZONE_RETURN.restarted(fleet)
        }, ;

        abstract fun restarted(fleet: ConfigurationFleet): List<ConfigurationFleet.Node>

        companion object {
            const val SINGLE_ONE_IN = 5
            const val RACKS_PER_ZONE = 10
        }
    }
}
