package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.time.MonotonicTime

/** What a [MapSwitch] knows of one rank: the order in progress, and the state of the rank. */
internal class RankProgress {
    /** Whether the rank has carried out what the current phase asks of it. */
    var accepted = false

    /** Whether the order has remained without a response, so that the rank may carry it out at any time. */
    var hasUnknownOutcome = false

    /** Whether a response to the order is awaited. */
    var inFlight = false

    /** Time at which the order was last sent. */
    var sentAt: MonotonicTime? = null

    /** Time from which a report of the rank shows whether it has carried out the order; `null` if none is needed. */
    var reportDecidesFrom: MonotonicTime? = null

    /** Whether the rank has copied all experts of the new map. */
    var copied = false

    /** Version for which the rank is armed, as far as is known. */
    var armedVersion: Long? = null

    /** Forgets the order, as the next phase begins or the rank needs another one. */
    fun clearOrder() {
        accepted = false
        hasUnknownOutcome = false
        inFlight = false
        sentAt = null
        reportDecidesFrom = null
    }
}
