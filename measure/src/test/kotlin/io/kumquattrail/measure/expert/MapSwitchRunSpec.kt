package io.kumquattrail.measure.expert

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

private const val RUNS = 6

/** Runs all steps of a change for several seeds and returns the runs with a torn step or a group that stays stuck. */
private fun failures(
    checksFencing: Boolean,
    vararg faults: MapSwitchFault,
): List<String> =
    MapSwitchStep.entries.flatMap { step ->
        (1L..RUNS).mapNotNull { seed ->
            val result = MapSwitchRun(faults.toList(), step, checksFencing, seed).run()
            "${step.label} seed $seed: $result".takeIf { result.tornSteps > 0 || result.isStuck }
        }
    }

class MapSwitchRunSpec :
    DescribeSpec({
        listOf(true, false).forEach { checksFencing ->
            val engine = if (checksFencing) "checks" else "ignores"
            describe("a change on engines of which each $engine fencing numbers") {
                it("tears no step when an agent restarts and its predecessor's commands arrive late") {
                    failures(checksFencing, MapSwitchFault.AGENT_DIES_COMMANDS_LATE).shouldBeEmpty()
                }

                it("tears no step when all agents lose their state and late commands arrive") {
                    failures(checksFencing, MapSwitchFault.ALL_AGENTS_DIE_COMMANDS_LATE).shouldBeEmpty()
                }

                it("completes a commit that only some ranks have received when the coordinator dies") {
                    failures(checksFencing, MapSwitchFault.COORDINATOR_DIES_SENDING).shouldBeEmpty()
                }

                it("tears no step when two coordinators act and messages arrive twice") {
                    val faults = arrayOf(MapSwitchFault.SECOND_COORDINATOR, MapSwitchFault.MESSAGES_DUPLICATED)
                    failures(checksFencing, *faults).shouldBeEmpty()
                }

                it("tears no step when a coordinator wakes after another agent has restarted") {
                    val faults = arrayOf(MapSwitchFault.COORDINATOR_PAUSED, MapSwitchFault.AGENT_DIES)
                    failures(checksFencing, *faults).shouldBeEmpty()
                }

                it("does not leave a map prepared by a late duplicate, which would block the next change") {
                    failures(checksFencing, MapSwitchFault.MESSAGES_REORDERED).shouldBeEmpty()
                }

                it("does not wait for weights that an engine lost while requests were repeated") {
                    val faults = arrayOf(MapSwitchFault.MESSAGES_LOST, MapSwitchFault.ENGINE_COLD)
                    failures(checksFencing, *faults).shouldBeEmpty()
                }

                it("starts again when every engine and every agent is empty") {
                    val faults = arrayOf(MapSwitchFault.ALL_ENGINES_COLD, MapSwitchFault.ALL_AGENTS_DIE_COMMANDS_LATE)
                    failures(checksFencing, *faults).shouldBeEmpty()
                }
            }
        }
    })
