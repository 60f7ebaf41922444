package io.kumquattrail.measure.matrix

import io.kumquattrail.measure.expert.MapSwitchFault
import io.kumquattrail.measure.expert.MapSwitchRun
import io.kumquattrail.measure.expert.MapSwitchStep

/** Runs an expert map change on a group whose engines check fencing numbers and on one whose engines ignore them. */
internal object MapChangeScenario : ProtocolScenario {
    override val protocol = "map_change"
    override val guarantees = "P1, one map again after the last fault"
    override val steps = MapSwitchStep.entries.map { it.label }

    override fun emptyReason(fault: MatrixFault): String? =
        if (fault == MatrixFault.CONFIGURATION_DOWN) {
            "A map change reads nothing from the service, and the records in effect remain."
        } else {
            null
        }

    override fun run(
        step: String,
        faults: List<MatrixFault>,
        seed: Long,
    ): List<String> {
        val mapStep = MapSwitchStep.entries.first { it.label == step }
        val variants =
            faults.fold(listOf(emptyList<MapSwitchFault>())) { lists, fault ->
                lists.flatMap { list -> kinds(fault).map { list + it } }
            }
        return variants.flatMapIndexed { index, variant ->
            listOf(true, false).flatMap { checksFencing ->
                val result = MapSwitchRun(variant, mapStep, checksFencing, seed + index).run()
                val case = "with $variant, engine checks fencing: $checksFencing"
                buildList {
                    if (result.tornSteps > 0) add("P1: ${result.tornSteps} steps ran with two maps $case")
                    if (result.isStuck) add("the group did not reach one map $case")
                }
            }
        }
    }

    private fun kinds(fault: MatrixFault): List<MapSwitchFault> =
        when (fault) {
            MatrixFault.RANK_STALLS -> {
                listOf(MapSwitchFault.RANK_STALLS)
            }

            MatrixFault.MESSAGE_LATE -> {
                listOf(MapSwitchFault.MESSAGES_DELAYED)
            }

            MatrixFault.MESSAGE_LOST -> {
                listOf(MapSwitchFault.MESSAGES_LOST)
            }

            MatrixFault.MESSAGE_DOUBLED -> {
                listOf(MapSwitchFault.MESSAGES_DUPLICATED)
            }

            MatrixFault.MESSAGE_REORDERED -> {
                listOf(MapSwitchFault.MESSAGES_REORDERED)
            }

            MatrixFault.PROCESS_DIES -> {
                listOf(
                    MapSwitchFault.COORDINATOR_DIES,
                    MapSwitchFault.COORDINATOR_DIES_SENDING,
                    MapSwitchFault.AGENT_DIES,
                    MapSwitchFault.AGENT_DIES_COMMANDS_LATE,
                    MapSwitchFault.VM_REPLACED,
                )
            }

            MatrixFault.SERVER_SILENTLY_COLD -> {
                listOf(MapSwitchFault.ENGINE_COLD)
            }

            MatrixFault.CONFIGURATION_DOWN -> {
                emptyList()
            }

            // A stale view of the records makes a second agent coordinate.
            MatrixFault.CONFIGURATION_STALE -> {
                listOf(MapSwitchFault.SECOND_COORDINATOR)
            }

            MatrixFault.PROCESS_PAUSED -> {
                listOf(MapSwitchFault.COORDINATOR_PAUSED, MapSwitchFault.AGENT_PAUSED)
            }

            MatrixFault.PARTITION -> {
                listOf(MapSwitchFault.PARTITION)
            }

            MatrixFault.REQUEST_CRASHES_SERVERS -> {
                listOf(MapSwitchFault.ALL_ENGINES_COLD)
            }
        }
}
