package io.kumquattrail.measure.expert

/** Lists the faults of design 1.6 that can hit a map change. */
internal enum class MapSwitchFault {
    RANK_STALLS,
    MESSAGES_DELAYED,
    MESSAGES_LOST,
    MESSAGES_DUPLICATED,
    MESSAGES_REORDERED,
    COORDINATOR_DIES,

    /** The coordinator dies between the messages that it sends to the ranks. */
    COORDINATOR_DIES_SENDING,
    AGENT_DIES,

    /** An agent dies whose last commands reach the engine after the next agent has started. */
    AGENT_DIES_COMMANDS_LATE,

    /** All agents die at once, and their last commands are late. */
    ALL_AGENTS_DIE_COMMANDS_LATE,
    COORDINATOR_PAUSED,
    AGENT_PAUSED,

    /** A stale view of the records makes a second agent coordinate, which proposes its own map. */
    SECOND_COORDINATOR,
    PARTITION,
    ENGINE_COLD,

    /** One request crashes the engine of every rank that runs it. */
    ALL_ENGINES_COLD,

    /** A VM is replaced: its agent and its engine start empty. */
    VM_REPLACED,
    ;

    val label: String = name.lowercase()
}

/** Lists the steps of a map change at which a fault begins. */
internal enum class MapSwitchStep {
    QUERY_SENT,
    QUERY_RECEIVED,
    PREPARE_SENT,
    PREPARE_RECEIVED,
    WEIGHTS_LOADED,
    SCHEDULE_SENT,
    PROMISED,
    COMMIT_SENT,
    COMMIT_RECEIVED,
    NEW_MAP_PERMITTED,
    STEP_REACHED,
    IN_EFFECT,
    ;

    val label: String = name.lowercase()
}
