package io.kumquattrail.measure.expert

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.change.LoadedMap
import io.kumquattrail.decision.expert.change.MapChangeSettings
import io.kumquattrail.decision.expert.change.MapGuardSettings
import io.kumquattrail.decision.expert.placement.IncrementalPlacement
import io.kumquattrail.decision.expert.placement.PlacementInput
import io.kumquattrail.decision.expert.placement.StaticContiguousPlacement
import io.kumquattrail.decision.expert.popularity.LayerPopularity
import io.kumquattrail.decision.expert.popularity.Popularity
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures what the changes of the incremental policy cost a running group, from the plan to the step in effect. */
class RebalanceCostMeasurement : Measurement {
    override val name: String = "rebalance-cost"

    override val summary: String = "Measures the bytes, store time and stalled steps of expert map changes."

    private enum class Case(
        val storeFactor: Double,
        val stallRatio: Double,
    ) {
        HEALTHY(storeFactor = 1.0, stallRatio = 0.0),
        STORE_AT_TENTH(storeFactor = 0.1, stallRatio = 0.0),
        STALLING_RANKS(storeFactor = 1.0, stallRatio = 0.02),
        ;

        val label: String = name.lowercase()
    }

    private class Totals {
        var moves = 0
        var storeSeconds = 0.0
        var storeFetches = 0
        var peerFetches = 0
        var slowedSteps = 0L
        var stalledSteps = 0
        var skewRemoved = 0.0
        var committed = 0
    }

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val shape = requireNotNull(StepSkewMeasurement.SHAPES[options.ranks ?: DEFAULT_RANKS])
        val totals = Case.entries.associateWith { measure(it, shape, options.seed) }
        val rows =
            totals.map { (case, total) ->
                options.progress("rebalance-cost: ${case.label}")
                mapOf(
                    "case" to case.label,
                    "ranks" to shape.ranks,
                    "changes" to total.committed,
                    "moves" to total.moves,
                    "bytes" to total.moves * shape.expertBytes,
                    "store_seconds" to total.storeSeconds,
                    "store_fetches" to total.storeFetches,
                    "peer_fetches" to total.peerFetches,
                    "steps_slowed" to total.slowedSteps,
                    "steps_stalled" to total.stalledSteps,
                    "skew_removed_per_move" to total.skewRemoved / maxOf(1, total.moves),
                )
            }
        val healthy = totals.getValue(Case.HEALTHY)
        val isMet = healthy.stalledSteps == 0 && totals.values.all { it.committed == CHANGES }
        return mapOf("seed" to options.seed, "results" to rows, "targets_met" to if (isMet) "yes" else "no")
    }

    private fun measure(
        case: Case,
        shape: GroupShape,
        seed: Long,
    ): Totals {
        val random = Random(seed)
        val traces =
            List(shape.layers) { layer ->
                val tokens = TOKENS_PER_RANK * shape.ranks
                ExpertTrace(ExpertTraceKind.DRIFTING, shape.experts, tokens, seed * LAYER_SEED_STRIDE + layer)
            }
        val totals = Totals()
        var present = StaticContiguousPlacement().plan(PlacementInput(shape, present = null, popularity = null)).map
        var loads = listOf<RankLoad>()
        var changing: ExpertMap? = null
        val settings =
            SimulatedGroupSettings(
                initialMap = present,
                ranks = shape.ranks,
                guard = MapGuardSettings(),
                change = MapChangeSettings(prepareTimeout = CHANGE_LIMIT),
                stepTime = STEP_TIME,
                loadTime = { rank: Int, map: LoadedMap ->
                    if (map.content.map === changing) loads[rank].time else INITIAL_LOAD_TIME
                },
            )
        val group = SimulatedGroup(settings, Random(random.nextLong()))
        group.stall = { if (random.nextDouble() < case.stallRatio) STALL_TIME else Duration.ZERO }
        group.queue.runUntil(group.queue.now + SETTLE_TIME)
        repeat(CHANGES) {
            repeat(WINDOWS_PER_CHANGE) { _ -> traces.forEach { it.next() } }
            val popularity = Popularity(traces.map { LayerPopularity(it.next()) })
            val plan = IncrementalPlacement().plan(PlacementInput(shape, present, popularity))
            loads = (0 until shape.ranks).map { RankLoad.of(shape, present, plan.map, it, case.storeFactor, random) }
            changing = plan.map
            change(group, plan.map, loads, totals)
            totals.moves += plan.moves
            totals.skewRemoved += skew(shape, present, popularity) - skew(shape, plan.map, popularity)
            present = plan.map
        }
        return totals
    }

    private fun change(
        group: SimulatedGroup,
        map: ExpertMap,
        loads: List<RankLoad>,
        totals: Totals,
    ) {
        val before = group.committedOf(0)
        val stalledBefore = group.stalledSteps
        val stepsBefore = group.completedSteps
        val start = group.queue.now
        group.propose(0, map)
        group.queue.runUntil(start + loads.maxOf { it.time })
        totals.slowedSteps += group.completedSteps - stepsBefore
        group.queue.runUntil(start + CHANGE_LIMIT) {
            val head = group.committedOf(0)
            head != before && head != null && group.hasOneMap && group.nextStep > head.firstStep + STEPS_AFTER
        }
        if (group.committedOf(0) != before) totals.committed += 1
        totals.stalledSteps += group.stalledSteps - stalledBefore
        totals.storeSeconds += loads.sumOf { it.storeTime.toDouble(DurationUnit.SECONDS) }
        totals.storeFetches += loads.sumOf { it.storeFetches }
        totals.peerFetches += loads.sumOf { it.peerFetches }
    }

    /** Adds up the skew of all layers. */
    private fun skew(
        shape: GroupShape,
        map: ExpertMap,
        popularity: Popularity,
    ): Double =
        map.layers.indices.sumOf { layer ->
            val loads = DoubleArray(shape.ranks)
            map.layers[layer].addLoads(popularity.layers[layer].tokens, loads)
            loads.max() / loads.average()
        }

    private companion object {
        const val DEFAULT_RANKS = 16
        const val CHANGES = 8
        const val WINDOWS_PER_CHANGE = 10
        const val TOKENS_PER_RANK = 512.0
        const val LAYER_SEED_STRIDE = 10_007L
        const val STEPS_AFTER = 5
        val STEP_TIME = 41.milliseconds
        val STALL_TIME = 500.milliseconds
        val INITIAL_LOAD_TIME = 60.milliseconds
        val SETTLE_TIME = 3.seconds
        val CHANGE_LIMIT = 600.seconds
    }
}
