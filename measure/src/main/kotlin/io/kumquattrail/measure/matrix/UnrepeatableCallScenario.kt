package io.kumquattrail.measure.matrix

import io.kumquattrail.measure.idempotency.CallSimulation
import io.kumquattrail.measure.idempotency.CallStep
import io.kumquattrail.measure.idempotency.Fault
import io.kumquattrail.measure.idempotency.KeyTableDelivery
import io.kumquattrail.measure.idempotency.PlannedFault
import io.kumquattrail.measure.idempotency.Scenario
import io.kumquattrail.measure.idempotency.TicketUse
import kotlin.random.Random

/** Runs a keyed call, which its caller repeats through two gateways, for issued and for caller keys. */
internal object UnrepeatableCallScenario : ProtocolScenario {
    private const val MAXIMUM_OCCURRENCE = 4

    override val protocol = "unrepeatable_call"
    override val guarantees = "P5, P6"
    override val steps = CallStep.entries.map { it.label }

    override fun emptyReason(fault: MatrixFault): String? =
        if (fault == MatrixFault.RANK_STALLS) "A plain service has no ranks." else null

    override fun run(
        step: String,
        faults: List<MatrixFault>,
        seed: Long,
    ): List<String> {
        val firstStep = CallStep.entries.first { it.label == step }
        return variants(faults).flatMapIndexed { index, variant ->
            TicketUse.entries.flatMap { ticketUse ->
                listOf(false, true).flatMap { runOnce(firstStep, variant, ticketUse, it, seed + index) }
            }
        }
    }

    private fun runOnce(
        firstStep: CallStep,
        faults: List<Fault>,
        ticketUse: TicketUse,
        issuedKey: Boolean,
        seed: Long,
    ): List<String> {
        val random = Random(seed)
        val planned =
            faults.mapIndexed { index, fault ->
                val step = if (index == 0) firstStep else CallStep.entries.random(random)
                PlannedFault(fault, step, random.nextInt(1, MAXIMUM_OCCURRENCE))
            }
        val result = CallSimulation(Scenario(seed, planned, issuedKey, ticketUse), KeyTableDelivery).run()
        return buildList {
            if (result.runs > 1) add("P6: the key ran ${result.runs} times with $planned")
            if (result.falseNotRun > 0) add("P5: ${result.falseNotRun} false answers `run: no` with $planned")
        }
    }

    /** Returns every combination of the faults of the simulation that [faults] stand for. */
    private fun variants(faults: List<MatrixFault>): List<List<Fault>> =
        faults.fold(listOf(emptyList())) { lists, fault -> lists.flatMap { list -> kinds(fault).map { list + it } } }

    private fun kinds(fault: MatrixFault): List<Fault> =
        when (fault) {
            MatrixFault.RANK_STALLS -> emptyList()

            MatrixFault.MESSAGE_LATE -> listOf(Fault.MESSAGE_LATE)

            MatrixFault.MESSAGE_LOST -> listOf(Fault.MESSAGE_LOST)

            MatrixFault.MESSAGE_DOUBLED -> listOf(Fault.MESSAGE_DOUBLED)

            MatrixFault.MESSAGE_REORDERED -> listOf(Fault.MESSAGE_REORDERED)

            MatrixFault.PROCESS_DIES -> listOf(Fault.GATEWAY_DIES, Fault.AGENT_DIES)

            // The agent of a cold server refuses what does not fit the cold limit.
            MatrixFault.SERVER_SILENTLY_COLD -> listOf(Fault.AGENT_OVERLOADED)

            // While the service is down, a process that missed a change keeps its old records, as with a stale service.
            MatrixFault.CONFIGURATION_DOWN, MatrixFault.CONFIGURATION_STALE -> listOf(Fault.STALE_RECORDS)

            MatrixFault.PROCESS_PAUSED -> listOf(Fault.GATEWAY_PAUSED, Fault.AGENT_PAUSED)

            MatrixFault.PARTITION -> listOf(Fault.PARTITION)

            MatrixFault.REQUEST_CRASHES_SERVERS -> listOf(Fault.SERVER_DIES)
        }
}
