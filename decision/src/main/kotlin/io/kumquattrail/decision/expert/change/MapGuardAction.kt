package io.kumquattrail.decision.expert.change

/** Action that the agent carries out for its [MapGuard]. */
sealed interface MapGuardAction {
    /** Sends [command] to the rank's engine. */
    data class Command(
        val command: EngineCommand,
    ) : MapGuardAction

    /** Sends [answer] to the coordinator whose request is being handled. */
    data class Answer(
        val answer: MapAnswer,
    ) : MapGuardAction

    /** Sends [request] to the agents of [ranks] and to the agent that should coordinate the group. */
    data class Ask(
        val ranks: List<Int>,
        val request: OutcomeRequest,
    ) : MapGuardAction

    /** Sends [answer] to the agent of [rank]. */
    data class AnswerOutcome(
        val rank: Int,
        val answer: OutcomeAnswer,
    ) : MapGuardAction

    /** Records a change of the guard's state in the timeline. */
    data class Record(
        val event: MapGuardEvent,
    ) : MapGuardAction
}

/** Change of the state of one rank's map. */
sealed interface MapGuardEvent {
    /** The rank has received the group's map, [head], and permits steps. */
    data class Active(
        val head: CommittedMap?,
    ) : MapGuardEvent

    /** The rank promised not to run [step] before it has received whether [version] takes effect. */
    data class Promised(
        val version: MapVersion,
        val step: Long,
    ) : MapGuardEvent

    /** The rank uses [map] from its first step on. */
    data class Committed(
        val map: CommittedMap,
    ) : MapGuardEvent

    /** The rank released [version], which does not take effect. */
    data class Aborted(
        val version: MapVersion,
    ) : MapGuardEvent

    /** The engine restarted and has to load its maps again. */
    data object EngineRestarted : MapGuardEvent

    /** Another agent commands the engine; this agent permits no further steps and must exit. */
    data object Superseded : MapGuardEvent
}
