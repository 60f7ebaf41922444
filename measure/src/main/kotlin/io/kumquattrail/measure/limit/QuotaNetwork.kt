package io.kumquattrail.measure.limit

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.limit.QuotaOwner
import io.kumquattrail.decision.limit.QuotaPolicy
import io.kumquattrail.decision.limit.QuotaSettings
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Carries quota messages between gateways with a delay and counts their bytes. */
internal class QuotaNetwork(
    private val events: EventQueue,
    private val random: Random,
    private val find: (ProcessName) -> Peer?,
) {
    private val settings = QuotaSettings()

    var bytes = 0L
        private set

    /** Ticks the gateway [name] from now on, for as long as [find] returns the same peer for it. */
    fun start(
        name: ProcessName,
        peer: Peer,
    ) {
        events.after(TICK * random.nextDouble()) { tick(name, peer) }
    }

    private fun tick(
        name: ProcessName,
        peer: Peer,
    ) {
        if (find(name) !== peer) return
        peer.policy.tick(events.now).forEach { request ->
            count(name, request.owner, request.report.usages.size)
            events.after(DELAY) {
                val grant = find(request.owner)?.owner?.receive(request.report, events.now) ?: return@after
                count(name, request.owner, grant.demands.size)
                events.after(DELAY) { peer.policy.receive(request.owner, grant, events.now) }
            }
        }
        events.after(TICK) { tick(name, peer) }
    }

    private fun count(
        from: ProcessName,
        to: ProcessName,
        entries: Int,
    ) {
        if (from != to) bytes += settings.messageBytes + settings.entryBytes * entries
    }

    /** Holds the quota parts of one run of a gateway. */
    class Peer(
        val policy: QuotaPolicy,
        val owner: QuotaOwner,
    )

    private companion object {
        val TICK = 1.seconds
        val DELAY = 1.milliseconds
    }
}
