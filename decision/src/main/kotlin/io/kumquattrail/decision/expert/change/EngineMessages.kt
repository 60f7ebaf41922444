package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.identity.Incarnation
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Command that an agent sends to its engine.
 *
 * Every engine must satisfy these requirements, whether or not it checks fencing numbers:
 * - It runs a step only within a permitted range and with the map of that range.
 * - It ignores a range whose map is not loaded.
 * - It does not unload a map that a permitted range names for a step that has not run yet.
 * - Its step number never decreases.
 *
 * A command may be delayed or lost but is not duplicated in transport: it is sent once over one connection, and a
 * restart of the engine resets all connections.
 */
sealed interface EngineCommand {
    /** Fencing number of the agent; an engine that checks it refuses numbers below the highest one received. */
    val fence: Long
}

/**
 * Asks for an [EngineReport]. An engine that checks fencing numbers answers whatever the number is, and stores a number
 * that is higher than its own.
 *
 * @property number increases by 1 with each read, so that the guard can discard reports that arrive out of order.
 */
data class ReadEngine(
    override val fence: Long,
    val number: Long,
) : EngineCommand

/** Asks the engine to load the weights that [map] needs, in addition to the maps that are already loaded. */
data class LoadMap(
    override val fence: Long,
    val map: LoadedMap,
) : EngineCommand

/** Asks the engine to release the weights that no loaded map other than [id] needs. */
data class UnloadMap(
    override val fence: Long,
    val id: LoadedMapId,
) : EngineCommand

/** Permits the engine to run the steps from [first] to [last], both inclusive, with the loaded map [id]. */
data class PermitSteps(
    override val fence: Long,
    val first: Long,
    val last: Long,
    val id: LoadedMapId,
) : EngineCommand

/**
 * Identifies a loaded map within an engine.
 *
 * The identifier contains the incarnation of the agent that loaded the map. When a new agent loads a map that its
 * predecessor had loaded too, a delayed command of the predecessor refers to the earlier load, which the new agent has
 * released.
 */
data class LoadedMapId(
    val version: MapVersion,
    val loader: Incarnation,
) {
    override fun toString(): String = "$version/$loader"
}

/** Holds the content of a map that is loaded in an engine under the identifier [id]. */
data class LoadedMap(
    val id: LoadedMapId,
    val content: VersionedMap,
)

/** States that the engine may run the steps from [first] to [last], both inclusive, with the loaded map [id]. */
data class PermittedRange(
    val first: Long,
    val last: Long,
    val id: LoadedMapId,
)

/**
 * Describes the state of an engine.
 *
 * @property number number of the [ReadEngine] that this report answers.
 * @property incarnation changes when the engine restarts, which clears maps and permitted ranges.
 * @property fence highest fencing number that the engine has received; 0 if the engine does not check them.
 * @property nextStep step that the engine runs next.
 * @property maps maps whose weights are fully loaded.
 * @property permitted range of the step that ran last and all later ranges, in ascending order; adjacent ranges with
 *   the same map are merged and keep the lowest first step.
 */
data class EngineReport(
    val number: Long,
    val incarnation: Incarnation,
    val fence: Long,
    val nextStep: Long,
    val maps: ImmutableList<LoadedMap> = persistentListOf(),
    val permitted: ImmutableList<PermittedRange> = persistentListOf(),
) {
    /** Returns whether the map [id] is loaded. */
    fun hasLoaded(id: LoadedMapId): Boolean = maps.any { it.id == id }

    /** Last permitted step, or `null` if no step was ever permitted. */
    val lastPermittedStep: Long? get() = permitted.maxOfOrNull { it.last }

    /** Last step of the permitted steps that follow without a gap from [nextStep]; `nextStep - 1` if there is none. */
    val lastContiguousPermittedStep: Long
        get() {
            var end = nextStep - 1
            for (range in permitted) if (range.first <= end + 1) end = maxOf(end, range.last)
            return end
        }
}
