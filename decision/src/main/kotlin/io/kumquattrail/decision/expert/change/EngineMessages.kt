package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.identity.Incarnation
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Travels from an agent to its engine.
 *
 * Requirements on every engine, whether or not it checks fencing numbers: it runs a step only within a permitted range
 * and with that range's map; it ignores a range whose map is not loaded; it does not unload a map that a step not yet
 * run is permitted with; its step number never decreases. A command may be delayed or lost but is not duplicated in
 * transport: it is sent once over one connection, and a restart of the engine resets all connections.
 */
sealed interface EngineCommand {
    /** Fencing number of the agent; an engine that checks it refuses numbers below the highest that it has seen. */
    val fence: Long
}

/**
 * Asks for an [EngineReport]. An engine that checks fencing numbers answers any number, and remembers a higher one.
 *
 * @property number raised by 1 for each read, so that the guard can discard a report that was overtaken.
 */
data class ReadEngine(
    override val fence: Long,
    val number: Long,
) : EngineCommand

/** Asks the engine to load the weights that [map] needs, beside the maps that it has loaded. */
data class LoadMap(
    override val fence: Long,
    val map: LoadedMap,
) : EngineCommand

/** Asks the engine to release the weights that only the map [id] needs. */
data class UnloadMap(
    override val fence: Long,
    val id: LoadedMapId,
) : EngineCommand

/** Permits the steps from [first] to [last], both inclusive, with the loaded map [id]. */
data class PermitSteps(
    override val fence: Long,
    val first: Long,
    val last: Long,
    val id: LoadedMapId,
) : EngineCommand

/**
 * Names a map within an engine.
 *
 * The name contains the agent incarnation that loaded the map. When a new agent loads a map that its predecessor had
 * loaded as well, a late command of the predecessor names the old load, which the new agent has released.
 */
data class LoadedMapId(
    val version: MapVersion,
    val loader: Incarnation,
) {
    override fun toString(): String = "$version/$loader"
}

/** Holds the content of a map that is loaded in an engine under the name [id]. */
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
 * @property fence highest fencing number that the engine has seen; 0 from engines that ignore it.
 * @property nextStep step that the engine runs next.
 * @property maps maps whose weights are loaded completely.
 * @property permitted the range of the step run last and all later ranges, ascending; adjacent ranges of one map are
 *   merged and keep their first step.
 */
data class EngineReport(
    val number: Long,
    val incarnation: Incarnation,
    val fence: Long,
    val nextStep: Long,
    val maps: ImmutableList<LoadedMap> = persistentListOf(),
    val permitted: ImmutableList<PermittedRange> = persistentListOf(),
) {
    /** Tells whether the map [id] is loaded. */
    fun hasLoaded(id: LoadedMapId): Boolean = maps.any { it.id == id }

    /** Last permitted step, or `null` when no step was ever permitted. */
    val lastPermittedStep: Long? get() = permitted.maxOfOrNull { it.last }

    /** Last step up to which all steps from [nextStep] on are permitted; `nextStep - 1` when the next one is not. */
    val permittedWithoutGap: Long
        get() {
            var end = nextStep - 1
            for (range in permitted) if (range.first <= end + 1) end = maxOf(end, range.last)
            return end
        }
}
