package io.kumquattrail.measure.idempotency

/**
 * Lists the faults of the measurement. [label] is the name in its rows.
 *
 * Between an agent and its server there is one HTTP connection, on which nothing is doubled or reordered.
 */
enum class Fault {
    MESSAGE_LOST,
    MESSAGE_DOUBLED,
    MESSAGE_LATE,
    MESSAGE_REORDERED,
    GATEWAY_DIES,
    GATEWAY_PAUSED,
    AGENT_DIES,
    AGENT_PAUSED,
    AGENT_OVERLOADED,
    SERVER_DIES,
    PARTITION,
    STALE_RECORDS,
    CLOCK_DIFFERENCE,
    ;

    val label: String = name.lowercase()
}

/** Lists the steps of a call at which a fault occurs. */
enum class CallStep {
    CALLER_SENDS,
    GATEWAY_SENDS,
    AGENT_BEGINS,
    AGENT_SENDS,
    SERVER_ANSWERS,
    AGENT_ANSWERS,
    GATEWAY_ANSWERS,
    ;

    val label: String = name.lowercase()
}

/**
 * Says when a fault occurs.
 *
 * @property occurrence how many times the call reaches [step] until the fault occurs, from 1.
 */
data class PlannedFault(
    val fault: Fault,
    val step: CallStep,
    val occurrence: Int,
)
