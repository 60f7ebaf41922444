package io.kumquattrail.decision.delivery

/** Says how often a call may be sent. */
enum class WorkKind {
    /** Any number of attempts on any server may run. */
    REPEATABLE,

    /** Only the key's owner decides whether an attempt runs, so attempts may be sent to the owner repeatedly. */
    KEYED,

    /**
     * At most one attempt may run, and no owner checks it.
     *
     * This relies on a transport that doubles no attempt. A gateway that holds a key issued by the agent sends the call
     * as [KEYED] instead, and then the agent recognises doubled attempts.
     */
    SINGLE,
}
