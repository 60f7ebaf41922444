package io.kumquattrail.decision.suspect

import kotlin.time.Duration

/**
 * Reports the state of a suspect from one process to another.
 *
 * @property crashes server crashes during which the request was in flight.
 * @property blocked whether a server crashed while it ran the request in isolation.
 * @property age time since the last crash; unlike a timestamp, it does not depend on the clock of the sender.
 */
data class SuspectReport(
    val fingerprint: String,
    val crashes: Int,
    val blocked: Boolean,
    val age: Duration,
)
