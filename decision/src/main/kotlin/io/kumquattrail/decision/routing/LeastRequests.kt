package io.kumquattrail.decision.routing

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random

/** Takes the server with the fewest known requests. */
class LeastRequests(
    private val random: Random,
) : SimplePolicy(random) {
    override val name: String = "least_requests"

    override fun select(
        request: RoutingRequest,
        now: MonotonicTime,
    ): ServerState? {
        val servers = table.servers
        if (servers.isEmpty()) return null
        // Ties are frequent; a random start keeps gateways from preferring the same servers.
        val start = random.nextInt(servers.size)
        var best: ServerState? = null
        var fewest = Int.MAX_VALUE
        for (offset in servers.indices) {
            val server = servers[(start + offset) % servers.size]
            if (!server.mayReceive(request, now)) continue
            val requests = server.requests(now)
            if (requests < fewest) {
                best = server
                fewest = requests
            }
        }
        return best
    }
}
