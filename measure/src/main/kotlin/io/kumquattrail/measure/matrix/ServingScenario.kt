package io.kumquattrail.measure.matrix

import kotlin.time.Duration.Companion.milliseconds

/** Runs calls through gateway, agents and servers while the [plan] happens. */
internal class ServingScenario(
    override val protocol: String,
    override val guarantees: String,
    override val steps: List<String>,
    private val plan: ServingPlan,
) : ProtocolScenario {
    override fun emptyReason(fault: MatrixFault): String? =
        if (fault == MatrixFault.RANK_STALLS) {
            "The rank is behind its server, so a stall shows as late tokens only, as in `server_silently_cold`."
        } else {
            null
        }

    override fun run(
        step: String,
        faults: List<MatrixFault>,
        seed: Long,
    ): List<String> = ServingRun(plan, step, faults, seed).run()

    companion object {
        private const val CALLS = "P2, P4, P5"
        private const val LEAVING = "(no work 2 s after publication and the last fault)"

        /** All protocols that this kind of scenario covers. */
        val all: List<ServingScenario> =
            listOf(
                ServingScenario("request", CALLS, ServingRun.CALL_STEPS, ServingPlan(isStream = false)),
                ServingScenario("stream", CALLS, ServingRun.CALL_STEPS, ServingPlan()),
                ServingScenario(
                    "admission",
                    CALLS,
                    listOf("work_arrived", "granted", "server_received", "finished_sent"),
                    ServingPlan(callInterval = 3.milliseconds),
                ),
                ServingScenario(
                    "zone_change",
                    "$CALLS, P3 $LEAVING, P8",
                    listOf("published", "gateway_informed", "agent_informed", "drained", "exited", "returned"),
                    ServingPlan(outOfService = setOf(0, 1), returns = true),
                ),
                ServingScenario(
                    "graceful_shutdown",
                    "$CALLS, P7 $LEAVING, P8",
                    listOf("published", "gateway_informed", "agent_informed", "drained", "exited"),
                    ServingPlan(outOfService = setOf(0)),
                ),
                ServingScenario(
                    "process_start",
                    CALLS,
                    listOf("started", "records_learned", "server_read"),
                    ServingPlan(restartsAgent = true),
                ),
            )
    }
}
