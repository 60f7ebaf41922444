package io.kumquattrail.decision.limit

/**
 * Holds the part of an agent's load report that load shedding uses.
 *
 * @property queued requests that wait at the agent.
 * @property concurrencyLimit requests that the server runs at once.
 * @property draining whether the server leaves and takes no new work.
 */
data class ServerLoad(
    val queued: Int,
    val concurrencyLimit: Int,
    val draining: Boolean = false,
)
