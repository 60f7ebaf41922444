package io.kumquattrail.measure.fleet

import io.kumquattrail.decision.configuration.Peer
import io.kumquattrail.decision.configuration.RecordSubscription
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName

/**
 * Places [processes] processes in two regions of three availability zones in the long-term proportion of 320 gateways
 * to 880 agents.
 */
internal class FleetLayout(
    val processes: Int,
) {
    val peers: List<Peer> =
        (0 until processes).map { index ->
            Peer(
                name = ProcessName("10.${index % ZONES}.${index / 256}.${index % 256}:7400"),
                zone = ZoneName("zone-${index % ZONES}"),
                subscription = if (isGateway(index)) RecordSubscription.ALL else RecordSubscription.AGENT,
            )
        }

    val indexOf: Map<ProcessName, Int> = peers.withIndex().associate { it.value.name to it.index }

    fun zone(index: Int): Int = index % ZONES

    fun region(index: Int): Int = zone(index) / ZONES_PER_REGION

    fun isGateway(index: Int): Boolean = (index / ZONES) * GATEWAYS % FULL_SIZE < GATEWAYS

    companion object {
        const val ZONES = 6
        const val ZONES_PER_REGION = 3
        const val FULL_SIZE = 1_200
        const val GATEWAYS = 320
    }
}
