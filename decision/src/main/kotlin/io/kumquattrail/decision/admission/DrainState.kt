package io.kumquattrail.decision.admission

/** Says whether a backend server receives new work. */
enum class DrainState {
    /** The agent knows no records yet and refuses all work. */
    UNPUBLISHED,

    /** New work is admitted. */
    IN_SERVICE,

    /** No new work is admitted; work in progress continues to its end. */
    DRAINING,

    /** No new work is admitted and none is in progress. */
    DRAINED,
}
