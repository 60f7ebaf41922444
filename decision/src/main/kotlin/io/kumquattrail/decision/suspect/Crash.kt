package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.Incarnation

/**
 * Describes a crash of a backend server.
 *
 * Several broken attempts report the same crash; equal crashes count once.
 *
 * @property agent incarnation of the agent beside the server.
 * @property fingerprints requests that were in flight.
 * @property alone whether the only request in flight ran alone because it was a suspect.
 */
data class Crash(
    val agent: Incarnation,
    val fingerprints: Set<String>,
    val alone: Boolean = false,
)
