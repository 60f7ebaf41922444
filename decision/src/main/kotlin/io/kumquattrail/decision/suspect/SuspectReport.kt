package io.kumquattrail.decision.suspect

import kotlin.time.Duration

/**
 * Carries what one process knows of a suspect to another one.
 *
 * @property crashes server crashes during which the request was in flight.
 * @property blocked whether a server crashed while the request ran alone.
 * @property age time since the last crash; ages pass between clocks that times do not.
 */
data class SuspectReport(
    val fingerprint: String,
    val crashes: Int,
    val blocked: Boolean,
    val age: Duration,
)
