package io.kumquattrail.decision.configuration

import io.kumquattrail.decision.identity.ProcessName

/**
 * Tells a peer what the sender has in effect; requests and answers have the same form.
 *
 * @property revision revision in effect at the sender.
 * @property confirmed whether the sender's records are confirmed.
 * @property subscription kinds that the sender keeps, so that an answer carries no others.
 * @property delta records that the receiver may lack, or `null` when the message carries none.
 */
data class ExchangeMessage(
    val sender: ProcessName,
    val revision: Long,
    val confirmed: Boolean,
    val subscription: RecordSubscription = RecordSubscription.ALL,
    val delta: RecordDelta? = null,
)
