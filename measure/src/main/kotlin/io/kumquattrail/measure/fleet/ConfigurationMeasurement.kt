package io.kumquattrail.measure.fleet

import io.kumquattrail.decision.configuration.ExchangeSettings
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures how fast configuration takes effect, and what its exchange costs, with every process of the fleet. */
object ConfigurationMeasurement : Measurement {
    override val name = "configuration"
    override val summary = "Time until configuration is in effect everywhere, reads of the service, and bytes."

    private val sizes = listOf(100, 400, 1_200)
    private const val OWN_POLICY = "exchange"
    private const val IN_EFFECT_MOST_MS = 7_000.0

    // Far below 2,000 is taken as a tenth.
    private const val READS_PER_SECOND_MOST = 200
    private const val BYTES_PER_SECOND_MOST = 6_000.0

    /** Lists the policies; `everyone_watches` is the baseline without exchange between processes. */
    private val policies =
        mapOf(
            OWN_POLICY to ExchangeSettings(),
            "everyone_watches" to
                ExchangeSettings(
                    fanout = 0,
                    narrowerFanout = 0,
                    compareInterval = 1.days,
                    peersAskedAtStart = 0,
                    readersPerZone = Int.MAX_VALUE,
                    readerPause = 100.milliseconds,
                    readerRetryLongest = 1.seconds,
                ),
        )

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val rows =
            policies.flatMap { (policy, settings) ->
                // The baseline sends nothing between processes, so its largest size and three cases are enough.
                sizes.filter { policy == OWN_POLICY || it == sizes.max() }.flatMap { processes ->
                    Case.entries.filter { policy == OWN_POLICY || it.isForBaseline }.map { case ->
                        options.progress("configuration: $policy, $processes processes, ${case.label}")
                        mapOf("policy" to policy, "processes" to processes, "case" to case.label) +
                            case.run(ConfigurationFleet(processes, options.seed, settings))
                    }
                }
            }
        val own = rows.filter { it["policy"] == OWN_POLICY }

        fun worst(
            field: String,
            among: List<Map<String, Any?>> = own,
        ) = among.maxOf { (it[field] as Number).toDouble() }
        // A restart transfers the whole configuration, which is no rate; its bytes are reported and bound to no target.
        val running = own.filter { it["case"] != Case.MASS_RESTART.label }
        return mapOf(
            "measurement" to name,
            "seed" to options.seed,
            "results" to
                rows +
                growthRows(own, listOf("in_force_p99_ms", "reads_per_second_mean", "bytes_per_second_per_process")),
            "targets_met" to
                mapOf(
                    "in_effect_within_7_s" to (worst("in_force_worst_ms") <= IN_EFFECT_MOST_MS).toString(),
                    "reads_far_below_2000" to (worst("reads_per_second_peak") <= READS_PER_SECOND_MOST).toString(),
                    "bytes_within_6_kb_s" to
                        (worst("bytes_per_second_per_process", running) <= BYTES_PER_SECOND_MOST).toString(),
                    "no_reverts" to (worst("reverts") == 0.0).toString(),
                ),
        )
    }

    private enum class Case(
        val label: String,
        val isForBaseline: Boolean = false,
    ) {
        CALM("calm", isForBaseline = true) {
            override fun run(fleet: ConfigurationFleet) = publishChanges(fleet)
        },
        LOSS("loss_5_percent") {
            override fun run(fleet: ConfigurationFleet): Map<String, Any?> {
                fleet.network.lossRatio = 0.05
                return publishChanges(fleet)
            }
        },
        MASS_RESTART("mass_restart", isForBaseline = true) {
            override fun run(fleet: ConfigurationFleet): Map<String, Any?> {
                val record = Record(fleet)
                record.published(isMeasuredFromStart = true)
                fleet.nodes.forEach { node ->
                    fleet.queue.after(1.seconds * fleet.random.nextDouble()) { node.start() }
                }
                return record.finish(60.seconds)
            }
        },
        AFTER_HOUR_DOWN("after_hour_down", isForBaseline = true) {
            override fun run(fleet: ConfigurationFleet): Map<String, Any?> {
                val record = Record(fleet)
                fleet.startWarm()
                fleet.service.goDown()
                // Two minutes stand for the hour: the pauses between failed reads reach their limit within one.
                fleet.queue.runUntil(MonotonicTime.ZERO + 2.minutes)
                repeat(CHANGES) { fleet.published.change() }
                fleet.service.isDown = false
                record.published()
                return record.finish(30.seconds)
            }
        },
        STALE_REPLICA("stale_replica") {
            override fun run(fleet: ConfigurationFleet): Map<String, Any?> {
                val stale = fleet.published.delta(0)
                fleet.service.staleDelta =
                    { after -> stale.copy(entries = stale.entries.filter { it.revision > after }) }
                fleet.service.staleReplicas = 1
                val restarted = fleet.nodes.filter { it.index % RESTARTED_ONE_IN == 1 }
                fleet.queue.at(MonotonicTime.ZERO + 42.seconds) { restarted.forEach { it.restart() } }
                return publishChanges(fleet)
            }
        }, ;

        abstract fun run(fleet: ConfigurationFleet): Map<String, Any?>

        fun publishChanges(fleet: ConfigurationFleet): Map<String, Any?> {
            val record = Record(fleet)
            fleet.startWarm()
            repeat(CHANGES) { change ->
                // The spacing is no multiple of the comparison interval, so that changes fall into all of its phases.
                fleet.queue.at(MonotonicTime.ZERO + 10.seconds + 4_370.milliseconds * change) {
                    fleet.published.change()
                    record.published()
                    fleet.service.changed()
                }
            }
            return record.finish(4_370.milliseconds * CHANGES + 20.seconds)
        }

        companion object {
            const val CHANGES = 10
            const val RESTARTED_ONE_IN = 10
        }
    }

    /** Records when each process has each published revision in effect. */
    private class Record(
        private val fleet: ConfigurationFleet,
    ) {
        private val pending = ArrayList<Pending>()
        private val latencies = ArrayList<Double>()

        init {
            fleet.inEffect = { node ->
                pending.forEach {
                    if (node.state.revision >= it.revision && it.missing.remove(node.index)) {
                        val from = if (it.isMeasuredFromStart) node.startedAt else it.at
                        latencies += (fleet.queue.now - from).toDouble(DurationUnit.MILLISECONDS)
                    }
                }
            }
        }

        fun published(isMeasuredFromStart: Boolean = false) {
            val missing = fleet.nodes.indices.toHashSet()
            pending += Pending(fleet.published.revision, fleet.queue.now, missing, isMeasuredFromStart)
        }

        fun finish(rest: Duration): Map<String, Any?> {
            val end = fleet.queue.now + rest
            fleet.queue.runUntil(end)
            // A process that never had a revision in effect counts with the time until the end of the run.
            pending.forEach { change ->
                repeat(change.missing.size) { latencies += (end - change.at).toDouble(DurationUnit.MILLISECONDS) }
            }
            val seconds = (end - MonotonicTime.ZERO).toDouble(DurationUnit.SECONDS)
            val rates = fleet.network.bytes.map { it / seconds }
            return mapOf(
                "in_force_p50_ms" to quantile(latencies, 0.5).rounded(),
                "in_force_p99_ms" to quantile(latencies, 0.99).rounded(),
                "in_force_worst_ms" to quantile(latencies, 1.0).rounded(),
                "reads_per_second_mean" to
                    (
                        fleet.service.callsBySecond.values
                            .sum() / seconds
                    ).rounded(),
                "reads_per_second_peak" to fleet.service.peakCallsPerSecond,
                "bytes_per_second_per_process" to rates.average().rounded(),
                "bytes_per_second_worst_process" to rates.max().rounded(),
                "never_in_force" to pending.sumOf { it.missing.size },
                "reverts" to fleet.reverts,
            )
        }
    }

    private class Pending(
        val revision: Long,
        val at: MonotonicTime,
        val missing: HashSet<Int>,
        val isMeasuredFromStart: Boolean,
    )
}
