package io.kumquattrail.decision.configuration

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName

/** Describes a process with which configuration is exchanged. */
data class Peer(
    val name: ProcessName,
    val zone: ZoneName,
    val subscription: RecordSubscription = RecordSubscription.ALL,
)
