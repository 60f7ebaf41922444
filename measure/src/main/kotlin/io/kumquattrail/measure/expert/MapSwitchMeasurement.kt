package io.kumquattrail.measure.expert

import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import java.util.stream.Collectors
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Measures map changes under every fault and pair of faults at every step of the change, for both kinds of engine. */
class MapSwitchMeasurement : Measurement {
    override val name: String = "map-switch"

    override val summary: String = "Runs expert map changes under faults and counts steps with two maps."

    private data class Case(
        val checksFencing: Boolean,
        val faults: List<MapSwitchFault>,
        val step: MapSwitchStep,
    )

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val cases = cases()
        // Each run has its own seed, so the results do not depend on how the runs are spread over the cores.
        val results =
            cases.indices
                .toList()
                .parallelStream()
                .map { index ->
                    val case = cases[index]
                    val seed = options.seed * SEED_STRIDE + index
                    MapSwitchRun(case.faults, case.step, case.checksFencing, seed).run()
                }.collect(Collectors.toList())
        val rows = rows(cases, results)
        return mapOf(
            "seed" to options.seed,
            "runs" to results.size,
            "torn_steps" to results.sumOf { it.tornSteps },
            "stuck_groups" to results.count { it.isStuck },
            "worst_seconds_to_one_map" to seconds(results.maxOf { it.timeToOneMap }),
            "step_not_reached" to results.count { !it.reachedStep },
            "results" to rows,
            "targets_met" to if (results.all { it.tornSteps == 0 && !it.isStuck }) "yes" else "no",
        )
    }

    private fun cases(): List<Case> {
        val singles = MapSwitchFault.entries.map { listOf(it) }
        val pairs = MapSwitchFault.entries.flatMap { first -> MapSwitchFault.entries.map { listOf(first, it) } }
        return listOf(true, false).flatMap { checksFencing ->
            MapSwitchStep.entries.flatMap { step ->
                singles.flatMap { faults -> List(RUNS_PER_SINGLE) { Case(checksFencing, faults, step) } } +
                    pairs.map { Case(checksFencing, it, step) }
            }
        }
    }

    /** Reports single faults by step; pairs are summed over the steps unless something went wrong at one of them. */
    private fun rows(
        cases: List<Case>,
        results: List<MapSwitchResult>,
    ): List<Map<String, Any?>> =
        cases
            .zip(results)
            .groupBy { (case, result) ->
                val isGood = result.tornSteps == 0 && !result.isStuck
                val step = if (case.faults.size > 1 && isGood) "all" else case.step.label
                Triple(case.checksFencing, case.faults.sorted(), step)
            }.map { (key, runs) ->
                mapOf(
                    "engine" to if (key.first) "checks_fencing" else "ignores_fencing",
                    "faults" to key.second.joinToString("+") { it.label },
                    "step" to key.third,
                    "runs" to runs.size,
                    "torn_steps" to runs.sumOf { it.second.tornSteps },
                    "stuck_groups" to runs.count { it.second.isStuck },
                    "worst_seconds_to_one_map" to seconds(runs.maxOf { it.second.timeToOneMap }),
                )
            }

    private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

    private companion object {
        const val RUNS_PER_SINGLE = 3
        const val SEED_STRIDE = 1_000_003L
    }
}
