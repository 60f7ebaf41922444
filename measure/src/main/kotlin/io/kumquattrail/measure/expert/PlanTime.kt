package io.kumquattrail.measure.expert

import io.kumquattrail.decision.expert.GroupShape
import io.kumquattrail.decision.expert.placement.PlacementInput
import io.kumquattrail.decision.expert.placement.PlacementPolicy
import io.kumquattrail.decision.expert.placement.StaticContiguousPlacement
import io.kumquattrail.decision.expert.popularity.LayerPopularity
import io.kumquattrail.decision.expert.popularity.Popularity
import java.lang.management.ManagementFactory

/** Measures the processor time of a plan for all layers of a group, on the calling thread. */
internal object PlanTime {
    private const val MEASURED_PLANS = 9
    private const val NANOSECONDS_PER_MILLISECOND = 1e6
    private const val TOKENS_PER_RANK = 512.0
    private const val LAYER_SEED_STRIDE = 77_003L
    private val threads = ManagementFactory.getThreadMXBean()

    /** Returns the worst processor time of successive plans after [warmUpPlans] others on drifting traffic, in milliseconds. */
    fun measure(
        policy: PlacementPolicy,
        shape: GroupShape,
        seed: Long,
        warmUpPlans: Int,
    ): Double {
        val traces =
            List(shape.layers) { layer ->
                val traceSeed = seed * LAYER_SEED_STRIDE + layer
                ExpertTrace(ExpertTraceKind.DRIFTING, shape.experts, TOKENS_PER_RANK * shape.ranks, traceSeed)
            }
        val start = StaticContiguousPlacement().plan(PlacementInput(shape, present = null, popularity = null)).map
        var present = start
        var worst = 0.0
        repeat(warmUpPlans + (if (warmUpPlans > 1) MEASURED_PLANS else 1)) { round ->
            // The first plans from the static map make the most moves.
            if (round == warmUpPlans) present = start
            val popularity = Popularity(traces.map { LayerPopularity(it.next()) })
            val input = PlacementInput(shape, present, popularity)
            val begun = threads.currentThreadCpuTime
            present = policy.plan(input).map
            val milliseconds = (threads.currentThreadCpuTime - begun) / NANOSECONDS_PER_MILLISECOND
            if (round >= warmUpPlans) worst = maxOf(worst, milliseconds)
        }
        return worst
    }
}
