package io.kumquattrail.measure.idempotency

import io.kumquattrail.decision.delivery.CallState
import io.kumquattrail.decision.idempotency.KeyTable
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.record.RecordSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/** Is a gateway and what it holds in memory. */
class Gateway(
    var records: RecordSet,
) : Node() {
    val calls = mutableMapOf<String, CallState>()
    val unreachableUntil = mutableMapOf<ServerName, Duration>()
}

/** Is an agent and what it holds in memory; [outstanding] are the attempts that its server has not answered. */
class Agent(
    val server: ServerName,
    var records: RecordSet,
) : Node() {
    val backend = Node()
    var incarnation = Incarnation(0, 0)
    var table: KeyTable? = null
    var clockError: Duration = ZERO
    var overloadedUntil: Duration = ZERO
    val outstanding = mutableListOf<Attempt>()
}

/**
 * Is one attempt on its way.
 *
 * @property callSentAt time at which the caller sent the call that the attempt belongs to.
 */
class Attempt(
    val gateway: Gateway,
    val gatewayEpoch: Int,
    val requestId: String,
    val number: Int,
    val round: Int,
    val remaining: Duration,
    val callSentAt: Duration,
)
