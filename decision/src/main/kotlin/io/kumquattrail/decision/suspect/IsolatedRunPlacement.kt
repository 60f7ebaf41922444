package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName

/**
 * Chooses the server on which a suspect runs in isolation.
 *
 * All gateways try the agents in the same order. An agent that is in service keeps its place while its server is down
 * after a crash, so the agent of a server that the request has crashed refuses further copies even before a gateway has
 * received a report of the crash.
 * Copies of a fatal request that ran in isolation on different servers at the same time would crash one server each.
 */
object IsolatedRunPlacement {
    /** Returns [servers], the published servers in service, in the order of preference for [fingerprint]. */
    fun rank(
        fingerprint: String,
        servers: Collection<ServerName>,
    ): List<ServerName> = RendezvousHash.rank(fingerprint, servers) { it.value }
}
