package io.kumquattrail.decision.configuration

import io.kumquattrail.decision.identity.ProcessName
import kotlin.time.Duration

/** Tells the process what to do for the exchange of configuration. */
sealed interface ExchangeAction {
    /** Send [message] to [peer] and report the answer or the failure. */
    data class Send(
        val peer: ProcessName,
        val message: ExchangeMessage,
    ) : ExchangeAction

    /**
     * Read the entries above revision [after] from the configuration service and report them or the failure.
     *
     * @property wait longest time for which the service holds the answer back until something newer is published;
     *   zero for a plain read.
     */
    data class ReadService(
        val after: Long,
        val wait: Duration,
    ) : ExchangeAction

    /** The records in effect changed as [applied] says. */
    data class InEffect(
        val applied: ApplyOutcome.Applied,
    ) : ExchangeAction

    /** The records in effect became confirmed. */
    data object Confirmed : ExchangeAction

    /** [source] sent a delta that was not applied, for another reason than that it was not newer. */
    data class NotApplied(
        val source: ProcessName?,
        val outcome: ApplyOutcome,
    ) : ExchangeAction
}
