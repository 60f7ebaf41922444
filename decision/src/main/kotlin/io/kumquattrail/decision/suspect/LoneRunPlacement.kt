package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName

/**
 * Chooses where a suspect runs alone.
 *
 * All gateways ask the agents in the same order, also those whose servers are down: the agent beside a server that the
 * request has crashed refuses further copies before any report of the crash has reached the gateway. Copies that ran
 * alone at the same time on different servers would each cost a server.
 */
object LoneRunPlacement {
    /** Orders the published [servers] in service by which runs the request with [fingerprint]. */
    fun rank(
        fingerprint: String,
        servers: Collection<ServerName>,
    ): List<ServerName> = RendezvousHash.rank(fingerprint, servers) { it.value }
}
