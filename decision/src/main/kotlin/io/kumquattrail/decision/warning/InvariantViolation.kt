package io.kumquattrail.decision.warning

import kotlinx.collections.immutable.ImmutableMap

/**
 * Reports proof that a guarantee was violated.
 *
 * @property guarantee number of the guarantee on the design page, such as `P6`.
 * @property subject shared identity of what it was violated on: a key, a group or a server.
 */
data class InvariantViolation(
    val guarantee: String,
    val subject: String,
    val evidence: ImmutableMap<String, String>,
)
