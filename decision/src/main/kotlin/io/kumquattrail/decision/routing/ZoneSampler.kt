package io.kumquattrail.decision.routing

import io.kumquattrail.decision.identity.ZoneName
import kotlin.random.Random

/**
 * Draws servers by published weight, from the gateway's own availability zone more often than from others.
 *
 * Every draw chooses its zone by chance, with a probability that falls smoothly with the zone's load. Gateways with
 * similar views therefore spill over in proportion to the free capacity, and never all at once to the same server.
 */
internal class ZoneSampler(
    private val settings: TokenCostSettings,
    private val random: Random,
) {
    private class Zone(
        val name: ZoneName,
        val servers: List<ServerEstimate>,
    ) {
        /** Running sums of the weights. */
        val sums: DoubleArray =
            servers.runningFold(0.0) { sum, server -> sum + server.state.target.weight }.drop(1).toDoubleArray()
        var capacity = servers.sumOf { it.capacity }
        var load = servers.sumOf { it.load }
    }

    private var zones: List<Zone> = emptyList()
    private var byName: Map<ZoneName, Zone> = emptyMap()

    fun update(servers: List<ServerEstimate>) {
        zones =
            servers
                .filter { it.state.target.inService }
                .onEach { if (it.capacity == 0.0) it.capacity = capacityOf(it) }
                .groupBy { it.state.target.zone }
                .map { (name, members) -> Zone(name, members) }
        byName = zones.associateBy { it.name }
    }

    /** Takes the new report of [server] into the sums of its zone. */
    fun refresh(
        server: ServerEstimate,
        load: Double,
    ) {
        val capacity = capacityOf(server)
        val scaledLoad = load * capacity
        byName[server.state.target.zone]?.takeIf { server.state.target.inService }?.let { zone ->
            zone.capacity += capacity - server.capacity
            zone.load += scaledLoad - server.load
        }
        server.capacity = capacity
        server.load = scaledLoad
    }

    /** Draws a server, or returns `null` when none is in service. */
    fun draw(): ServerEstimate? {
        val zone = drawZone() ?: return null
        repeat(REJECTIONS) {
            val server = drawServer(zone)
            // A cold server is drawn in proportion to its limit, so that its share is no larger than it can take.
            if (random.nextDouble() < server.warmth.coerceAtLeast(MINIMUM_WARMTH)) return server
        }
        return drawServer(zone)
    }

    private fun drawZone(): Zone? {
        if (zones.size <= 1) return zones.firstOrNull()
        var position = random.nextDouble() * zones.sumOf(::attraction)
        for (zone in zones) {
            position -= attraction(zone)
            if (position < 0) return zone
        }
        return zones.last()
    }

    private fun attraction(zone: Zone): Double {
        val free = (zone.capacity - zone.load).coerceAtLeast(MINIMUM_FREE_SHARE * zone.capacity)
        return if (zone.name == settings.localZone) free * settings.localPreference else free
    }

    private fun drawServer(zone: Zone): ServerEstimate {
        val position = random.nextDouble() * zone.sums.last()
        val found = zone.sums.binarySearch(position)
        val index = if (found >= 0) found + 1 else -found - 1
        return zone.servers[index.coerceAtMost(zone.servers.lastIndex)]
    }

    private fun capacityOf(server: ServerEstimate): Double =
        server.state.target.weight * server.warmth.coerceAtLeast(MINIMUM_WARMTH)

    private companion object {
        const val MINIMUM_WARMTH = 0.05
        const val MINIMUM_FREE_SHARE = 0.02
        const val REJECTIONS = 4
    }
}
