package io.kumquattrail.measure.expert

import io.kumquattrail.decision.expert.change.EngineCommand
import io.kumquattrail.decision.expert.change.EngineReport
import io.kumquattrail.decision.expert.change.LoadMap
import io.kumquattrail.decision.expert.change.LoadedMap
import io.kumquattrail.decision.expert.change.LoadedMapId
import io.kumquattrail.decision.expert.change.PermitSteps
import io.kumquattrail.decision.expert.change.PermittedRange
import io.kumquattrail.decision.expert.change.ReadEngine
import io.kumquattrail.decision.expert.change.UnloadMap
import io.kumquattrail.decision.identity.Incarnation
import kotlinx.collections.immutable.toPersistentList
import java.util.TreeMap

/**
 * Runs steps of one rank within the ranges that an agent permits. Where two commands permit the same step with different
 * maps, the last one counts, as an engine does that simply obeys.
 */
internal class SimulatedEngine(
    private val checksFencing: Boolean,
    private val newIncarnation: () -> Incarnation,
    private val startLoad: (LoadedMap, complete: () -> Unit) -> Unit,
) {
    private val maps = mutableMapOf<LoadedMapId, LoadedMap>()
    private val permitted = TreeMap<Long, LoadedMapId>()
    private var highestFence = 0L

    var incarnation = newIncarnation()
        private set
    var nextStep = 0L
        private set

    /** Map that the step under way uses; `null` while the engine waits for a permission. */
    var stepMap: LoadedMapId? = null
        private set

    /** Obeys [command] and returns a report where one is asked for. */
    fun receive(command: EngineCommand): EngineReport? {
        if (checksFencing) {
            if (command.fence < highestFence && command !is ReadEngine) return null
            highestFence = maxOf(highestFence, command.fence)
        }
        when (command) {
            is ReadEngine -> {
                return report(command.number)
            }

            is LoadMap -> {
                val loadingIncarnation = incarnation
                startLoad(command.map) {
                    if (incarnation == loadingIncarnation) maps[command.map.id] = command.map
                }
            }

            is UnloadMap -> {
                if (permitted.tailMap(nextStep).values.none { it == command.id }) maps.remove(command.id)
            }

            is PermitSteps -> {
                if (command.id in maps) {
                    for (step in maxOf(command.first, nextStep)..command.last) {
                        permitted[step] = command.id
                    }
                }
            }
        }
        return null
    }

    /** Begins the next step if it is permitted and not yet under way; a step that has begun keeps its map. */
    fun tryBegin(): Boolean {
        if (stepMap != null) return false
        stepMap = permitted[nextStep]?.takeIf { it in maps }
        return stepMap != null
    }

    /** Ends the step under way, which all ranks have completed. */
    fun completeStep() {
        nextStep += 1
        stepMap = null
    }

    /** Loses all state but joins the group at [step]. */
    fun restart(step: Long) {
        incarnation = newIncarnation()
        maps.clear()
        permitted.clear()
        highestFence = 0
        stepMap = null
        nextStep = step
    }

    private fun report(number: Long): EngineReport {
        val ranges = mutableListOf<PermittedRange>()
        permitted.forEach { (step, id) ->
            val last = ranges.lastOrNull()
            if (last != null && last.id == id && last.last == step - 1) {
                ranges[ranges.lastIndex] = last.copy(last = step)
            } else {
                ranges += PermittedRange(step, step, id)
            }
        }
        val relevant = ranges.filter { it.last >= nextStep - 1 }
        return EngineReport(
            number = number,
            incarnation = incarnation,
            fence = highestFence,
            nextStep = nextStep,
            maps = maps.values.toPersistentList(),
            permitted = relevant.toPersistentList(),
        )
    }
}
