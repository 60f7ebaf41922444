package io.kumquattrail.decision.delivery

/** How many attempts of a call may run, and who ensures it. */
enum class WorkKind {
    /** Any number of attempts on any server may run. */
    REPEATABLE,

    /** Only the key's owner decides whether an attempt runs, so attempts may be sent to the owner repeatedly. */
    KEYED,

    /**
     * At most one attempt may run, and no key owner enforces this.
     *
     * This relies on a transport that duplicates no attempt. A gateway that has a key issued by the agent sends the
     * call as [KEYED] instead, and the agent then detects duplicate attempts.
     */
    SINGLE,
}
