package io.kumquattrail.measure.routing

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.routing.Assignment
import io.kumquattrail.decision.time.MonotonicTime

/** Lists how calls end. */
internal enum class CallEnd { COMPLETED, REFUSED_NOT_RUN, REFUSED_UNKNOWN }

/** Is a caller's request with everything that its gateway knows of it. */
internal class Call(
    val number: Long,
    val request: ModelRequest,
    val submittedAt: MonotonicTime,
    val deadline: MonotonicTime,
    val onEnd: (Call, CallEnd) -> Unit,
) {
    val excluded = HashSet<ServerName>()
    var attempts = 0
    var retries = 0
    var receivedTokens = 0
    var firstTokenAt: MonotonicTime? = null

    /** Number of times that a server received the call, for calls that must not be repeated. */
    var runs = 0
    var hasEnded = false
}

/** Is one attempt of a call at one agent. */
internal class Attempt(
    val call: Call,
    val number: Int,
    val assignment: Assignment,
    val gateway: GatewayModel,
)
