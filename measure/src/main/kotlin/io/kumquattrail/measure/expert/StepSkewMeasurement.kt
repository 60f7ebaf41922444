package io.kumquattrail.measure.expert

import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.placement.GreedyRebuild
import io.kumquattrail.decision.expert.placement.IncrementalPlacement
import io.kumquattrail.decision.expert.placement.LowerBound
import io.kumquattrail.decision.expert.placement.PlacementInput
import io.kumquattrail.decision.expert.placement.PlacementPolicy
import io.kumquattrail.decision.expert.placement.StaticContiguousPlacement
import io.kumquattrail.decision.expert.popularity.ExpertLoadReport
import io.kumquattrail.decision.expert.popularity.PopularityEstimator
import io.kumquattrail.decision.expert.popularity.PopularitySettings
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Measures the skew in step time that placement policies leave, and the bytes that they move. */
class StepSkewMeasurement : Measurement {
    override val name: String = "step-skew"

    override val summary: String = "Compares the skew that placement policies leave on traces of expert popularity."

    private class Policy(
        val placement: PlacementPolicy,
        val intervalWindows: Int,
        val warmUpPlans: Int,
    )

    private class Outcome(
        val skews: List<Double>,
        val bounds: List<Double>,
        val moves: Int,
        val changes: Int,
        val stallSteps: Int,
    ) {
        val skewMean: Double get() = skews.average()
        val boundMean: Double get() = bounds.average()

        fun quantile(share: Double): Double = skews.sorted()[((skews.size - 1) * share).toInt()]
    }

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val sizes = options.ranks?.let { listOf(it) } ?: SHAPES.keys.toList()
        val rows = mutableListOf<Map<String, Any?>>()
        val failures = mutableListOf<String>()
        sizes.forEach { ranks ->
            val shape = requireNotNull(SHAPES[ranks]) { "ranks must be one of ${SHAPES.keys}" }
            val planTime =
                POLICIES.associate {
                    it.placement.name to
                        PlanTime.measure(
                            it.placement,
                            shape,
                            options.seed,
                            it.warmUpPlans,
                        )
                }
            ExpertTraceKind.entries.forEach { kind ->
                options.progress("step-skew: $ranks ranks, ${kind.label}")
                val outcomes = POLICIES.associate { it.placement.name to replay(it, kind, shape, options.seed) }
                outcomes.forEach { (policy, outcome) ->
                    rows += row(policy, kind, shape, outcome, planTime.getValue(policy))
                }
                failures += failures(kind, ranks, outcomes)
            }
            val planMilliseconds = planTime.getValue(INCREMENTAL)
            if (planMilliseconds > PLAN_LIMIT_MS) failures += "$ranks ranks: a plan takes $planMilliseconds ms"
        }
        return mapOf(
            "seed" to options.seed,
            "results" to rows,
            "targets_met" to if (failures.isEmpty()) "yes" else "no",
            "targets_missed" to failures,
        )
    }

    private fun failures(
        kind: ExpertTraceKind,
        ranks: Int,
        outcomes: Map<String, Outcome>,
    ): List<String> {
        val own = outcomes.getValue(INCREMENTAL)
        val fixed = outcomes.getValue(STATIC)
        val greedy = outcomes.getValue(GREEDY)
        return buildList {
            if (kind == ExpertTraceKind.DRIFTING && own.skewMean > own.boundMean * SKEW_LIMIT) {
                add(
                    "$ranks ranks: skew ${own.skewMean} on drifting traffic exceeds the bound ${own.boundMean} by over 3%",
                )
            }
            if (kind != ExpertTraceKind.UNIFORM && own.moves > greedy.moves * MOVES_LIMIT) {
                add("$ranks ranks: ${own.moves} moves on ${kind.label} traffic, greedy rebuilding ${greedy.moves}")
            }
            if (kind == ExpertTraceKind.UNIFORM && (own.moves > 0 || own.skewMean > fixed.skewMean)) {
                add("$ranks ranks: ${own.moves} moves and skew ${own.skewMean} on uniform traffic")
            }
        }
    }

    private fun row(
        policy: String,
        kind: ExpertTraceKind,
        shape: GroupShape,
        outcome: Outcome,
        planMilliseconds: Double,
    ): Map<String, Any?> =
        mapOf(
            "policy" to policy,
            "trace" to kind.label,
            "ranks" to shape.ranks,
            "skew_mean" to outcome.skewMean,
            "skew_p99" to outcome.quantile(TAIL),
            "lower_bound" to outcome.boundMean,
            "moved_bytes" to outcome.moves * shape.expertBytes,
            "moves" to outcome.moves,
            "changes" to outcome.changes,
            "stall_steps" to outcome.stallSteps,
            "plan_ms" to planMilliseconds,
        )

    private fun replay(
        policy: Policy,
        kind: ExpertTraceKind,
        fullShape: GroupShape,
        seed: Long,
    ): Outcome {
        val shape = fullShape.copy(layers = REPLAYED_LAYERS)
        val traces =
            List(shape.layers) { layer ->
                val traceSeed = seed * LAYER_SEED_STRIDE + kind.ordinal * shape.layers + layer
                ExpertTrace(kind, shape.experts, TOKENS_PER_RANK * shape.ranks, traceSeed)
            }
        val reports = ReportStream(shape, PopularityEstimator(shape, SETTINGS), SETTINGS.windowSteps, Random(seed))
        val speeds = DoubleArray(shape.ranks) { 1.0 }
        val start = StaticContiguousPlacement().plan(PlacementInput(shape, present = null, popularity = null))
        var present = start.map
        var next: Pair<Int, ExpertMap>? = null
        val skews = mutableListOf<Double>()
        val bounds = mutableListOf<Double>()
        var moves = 0
        var changes = 0
        var stallSteps = 0
        for (window in 0 until WINDOWS) {
            next?.takeIf { it.first <= window }?.let {
                present = it.second
                next = null
            }
            val tokens = traces.map { it.next() }
            if (window >= WARM_UP_WINDOWS) {
                tokens.forEachIndexed { layer, layerTokens ->
                    val loads = DoubleArray(shape.ranks)
                    present.layers[layer].addLoads(layerTokens, loads)
                    val mean = layerTokens.sum() / shape.ranks
                    skews += loads.max() / mean
                    bounds += LowerBound.maximumLoad(layerTokens, shape.slots, speeds) / mean
                }
            }
            reports.send(window, tokens)
            if (next != null || (window + 1) % policy.intervalWindows != 0) continue
            val popularity = reports.estimator.popularity()
            val input = PlacementInput(shape, present, popularity, speeds, stagingPerRank = STAGING_PER_RANK)
            val plan = policy.placement.plan(input)
            if (!plan.isChange) continue
            moves += plan.moves
            changes += 1
            stallSteps += stallSteps(shape, present, plan.map)
            // Weights take up to a window to load; new shares alone are in effect within seconds.
            next = (if (plan.moves > 0) window + 2 else window + 1) to plan.map
        }
        return Outcome(skews, bounds, moves, changes, stallSteps)
    }

    /** Counts the steps during which the group waits for copies that do not fit beside those in use. */
    private fun stallSteps(
        shape: GroupShape,
        before: ExpertMap,
        after: ExpertMap,
    ): Int {
        val worst = (0 until shape.ranks).maxOf { after.replicasMissingIn(before, it) - emptySlots(before, it) }
        val waiting = maxOf(0, worst - STAGING_PER_RANK)
        return ceil(waiting * shape.expertBytes / LINK_BYTES_PER_SECOND / STEP_SECONDS).toInt()
    }

    private fun emptySlots(
        map: ExpertMap,
        rank: Int,
    ): Int = map.layers.sumOf { it.slotsPerRank - it.expertsOf(rank).size }

    /** Sends the reports of all ranks to the estimator; some are lost, late or repeated. */
    private class ReportStream(
        private val shape: GroupShape,
        val estimator: PopularityEstimator,
        private val windowSteps: Long,
        private val random: Random,
    ) {
        private val late = mutableListOf<ExpertLoadReport>()

        fun send(
            window: Int,
            tokens: List<DoubleArray>,
        ) {
            val reports =
                (0 until shape.ranks).map { rank ->
                    val own = tokens.map { layer -> DoubleArray(layer.size) { layer[it] / shape.ranks * windowSteps } }
                    ExpertLoadReport(rank, window * windowSteps, (window + 1) * windowSteps - 1, own)
                }
            val postponed = late.toList()
            late.clear()
            reports.forEach { report ->
                val fate = random.nextDouble()
                when {
                    fate < LOST -> {
                        Unit
                    }

                    fate < LOST + LATE -> {
                        late += report
                    }

                    else -> {
                        estimator.receive(report)
                        if (fate > 1 - REPEATED) estimator.receive(report)
                    }
                }
            }
            postponed.forEach { estimator.receive(it) }
        }
    }

    internal companion object {
        const val STATIC = "static_contiguous"
        const val GREEDY = "greedy_rebuild"
        const val INCREMENTAL = "incremental"
        const val PLAN_LIMIT_MS = 250.0
        const val SKEW_LIMIT = 1.03
        const val MOVES_LIMIT = 0.2
        const val TAIL = 0.99
        const val WINDOWS = 240
        const val WARM_UP_WINDOWS = 20
        const val REPLAYED_LAYERS = 4
        const val LAYER_SEED_STRIDE = 10_007L
        const val TOKENS_PER_RANK = 512.0
        const val STAGING_PER_RANK = 4
        const val LINK_BYTES_PER_SECOND = 5e9
        const val STEP_SECONDS = 0.041
        const val LOST = 0.03
        const val LATE = 0.05
        const val REPEATED = 0.02
        const val GREEDY_INTERVAL_WINDOWS = 10
        private const val EXPERT_BYTES = 44_040_192L
        private const val EXPERTS = 128
        private const val LAYERS = 60
        val SETTINGS = PopularitySettings()

        val SHAPES: Map<Int, GroupShape> =
            mapOf(16 to 10, 64 to 3, 256 to 2).mapValues { (ranks, slots) ->
                GroupShape(ranks, LAYERS, EXPERTS, slots, EXPERT_BYTES)
            }

        private val POLICIES =
            listOf(
                Policy(StaticContiguousPlacement(), intervalWindows = 1, warmUpPlans = 1),
                Policy(GreedyRebuild(), GREEDY_INTERVAL_WINDOWS, warmUpPlans = 1),
                Policy(IncrementalPlacement(), intervalWindows = 1, warmUpPlans = 12),
            )
    }
}
