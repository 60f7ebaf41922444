package io.kumquattrail.decision.ratelimit

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime

/**
 * One start of a server. What it said of itself does not hold for its next start.
 *
 * @property incarnation as in [BackendServer.incarnation].
 */
data class ServerIncarnation(
    val name: ServerName,
    val incarnation: Long,
) {
    /** Creates the incarnation of a registered [server]. */
    constructor(server: BackendServer) : this(name = server.name, incarnation = server.incarnation)
}

/** A change of what is known about the limit of a server; both limits are in requests per second, `null` for none. */
data class RateLimitChange(
    val before: Double?,
    val after: Double?,
)

/** The request rate limits that servers have named in their latest answers. */
class NamedRateLimits {
    private val observations = HashMap<ServerIncarnation, Observation>()

    /** Returns the limit of [server] in requests per second, or `null` when it has none. */
    fun limitOf(server: ServerIncarnation): Double? = observations[server]?.limit

    /** Records the [notice] in an answer of [server]; returns the change of its limit, or `null` if it is the same. */
    fun recordAnswer(
        server: ServerIncarnation,
        notice: RateLimitNotice,
        now: MonotonicTime,
    ): RateLimitChange? {
        val before = observations[server]?.limit
        val after = (notice as? RateLimitNotice.Limited)?.requestsPerSecond
        observations[server] = Observation(limit = after, at = now)
        return RateLimitChange(before = before, after = after).takeIf { before != after }
    }

    /** Drops the limits of servers that are not in [registered]. */
    fun retainServers(registered: Set<ServerName>) {
        observations.keys.retainAll { it.name in registered }
    }

    private class Observation(
        val limit: Double?,
        val at: MonotonicTime,
    )
}
