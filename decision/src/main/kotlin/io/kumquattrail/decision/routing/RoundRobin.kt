package io.kumquattrail.decision.routing

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random

/** Takes the servers in turn, from a random start. */
class RoundRobin(
    random: Random,
) : SimplePolicy(random) {
    override val name: String = "round_robin"
    private var next = random.nextInt(Int.MAX_VALUE / 2)

    override fun select(
        request: RoutingRequest,
        now: MonotonicTime,
    ): ServerState? {
        val servers = table.servers
        repeat(servers.size) {
            val server = servers[next % servers.size]
            next = (next + 1) % servers.size
            if (server.mayReceive(request, now)) return server
        }
        return null
    }
}
