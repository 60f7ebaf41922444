package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.Incarnation

/**
 * Describes a crash of a backend server.
 *
 * Every attempt that the crash interrupts reports it; equal reports are counted as one crash.
 *
 * @property agent incarnation of the agent that runs beside the server.
 * @property fingerprints fingerprints of the requests in flight at the crash.
 * @property isolated whether the server was running a single request in isolation because it was a suspect.
 */
data class Crash(
    val agent: Incarnation,
    val fingerprints: Set<String>,
    val isolated: Boolean = false,
)
