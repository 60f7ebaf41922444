package io.kumquattrail.measure.limit

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.limit.QuotaDecision
import io.kumquattrail.decision.limit.QuotaOwner
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Lists what happens to the gateways while their quotas are measured. */
internal enum class GatewayChange(
    val label: String,
) {
    NONE("none"),
    RESTARTS("restarts"),
    ZONE_OUT("zone_out"),
    OWNERS_UNREACHABLE("owners_unreachable"),
}

/**
 * Measures how far the tokens granted by all gateways together are from the published limits.
 *
 * Every second organisation asks for twice its limit and the others for half of theirs. Requests
 * reach a random live gateway. There are no agents, so that the fleet can have its full size.
 */
internal class QuotaSimulation(
    private val quota: QuotaFactory,
    private val organisationCount: Int,
    private val gatewayCount: Int,
    private val requestsPerSecond: Double,
    private val change: GatewayChange,
    private val warmUp: Duration,
    seed: Long,
) {
    private val events = EventQueue()
    private val random = Random(seed)
    private val demandRate = requestsPerSecond * Workload.meanTokens
    private val workload = Workload.of(organisationCount, demandRate, Random(seed + 1))
    private val limits =
        workload.organisations.withIndex().associate { (index, organisation) ->
            val demand = organisation.demandShare * demandRate
            organisation.name to maxOf(1L, (if (isOver(index)) demand / 2 else demand * 2).toLong())
        }
    private val names = List(gatewayCount) { ProcessName("10.0.${it / 250}.${it % 250 + 1}:7000") }
    private val peers = HashMap<ProcessName, QuotaNetwork.Peer>()
    private var reachable: (ProcessName) -> Boolean = { true }
    private val network = QuotaNetwork(events, random) { name -> peers[name]?.takeIf { reachable(name) } }
    private var live = names
    private val offered = DoubleArray(organisationCount)
    private val granted = DoubleArray(organisationCount)
    private val windowGranted = DoubleArray(WATCHED)
    private var worstExcess = 0.0

    fun run(): QuotaOutcome {
        names.forEach(::start)
        updateViews()
        scheduleChange()
        scheduleRequest()
        events.every(WINDOW, warmUp) { closeWindow() }
        events.runUntil(MonotonicTime.ZERO + (warmUp + MEASURED))
        return outcome()
    }

    private fun isOver(index: Int) = index % 2 == 0

    private fun start(name: ProcessName) {
        val policy = quota(name, random) { limits[it] }
        val peer = QuotaNetwork.Peer(policy, QuotaOwner())
        peers[name] = peer
        network.start(name, peer)
        policy.updateGateways(live, events.now)
        peer.owner.updateGateways(live)
    }

    private fun updateViews() {
        live.map { peers.getValue(it) }.forEach {
            it.policy.updateGateways(live, events.now)
            it.owner.updateGateways(live)
        }
    }

    private fun scheduleChange() {
        when (change) {
            GatewayChange.NONE -> {
                Unit
            }

            GatewayChange.RESTARTS -> {
                events.every(RESTART_INTERVAL, warmUp) {
                    val name = live[random.nextInt(live.size)]
                    leave(listOf(name))
                    events.after(RESTART_INTERVAL / 2) { enter(listOf(name)) }
                }
            }

            GatewayChange.ZONE_OUT -> {
                val zone = names.filterIndexed { index, _ -> index % ZONES == 0 }
                events.after(warmUp + RESTART_INTERVAL) { leave(zone) }
                events.after(warmUp + RESTART_INTERVAL * 3) { enter(zone) }
            }

            GatewayChange.OWNERS_UNREACHABLE -> {
                val cut = names.filterIndexed { index, _ -> index % 2 == 0 }.toSet()
                events.after(warmUp + RESTART_INTERVAL) { reachable = { it !in cut } }
                events.after(warmUp + RESTART_INTERVAL * 3) { reachable = { true } }
            }
        }
    }

    private fun leave(leaving: List<ProcessName>) {
        leaving.forEach { peers.remove(it) }
        live = live - leaving.toSet()
        events.after(VIEW_DELAY) { updateViews() }
    }

    private fun enter(entering: List<ProcessName>) {
        live = (live + entering).sorted()
        entering.forEach(::start)
        events.after(VIEW_DELAY) { updateViews() }
    }

    private fun scheduleRequest() {
        events.after(workload.secondsUntilNext(requestsPerSecond).seconds) {
            request()
            scheduleRequest()
        }
    }

    private fun request() {
        val index = workload.organisation()
        val tokens = (Workload.PROMPT_TOKENS + workload.outputTokens()).toLong()
        val peer = peers.getValue(live[random.nextInt(live.size)])
        val decision = peer.policy.admit(workload.organisations[index].name, tokens, events.now)
        if (events.now < MonotonicTime.ZERO + warmUp) return
        offered[index] += tokens.toDouble()
        if (decision !is QuotaDecision.Granted) return
        granted[index] += tokens.toDouble()
        if (index < WATCHED) windowGranted[index] += tokens.toDouble()
    }

    private fun closeWindow() {
        for (index in 0 until minOf(WATCHED, organisationCount)) {
            val limit = limits.getValue(workload.organisations[index].name) * WINDOW.toDouble(DurationUnit.SECONDS)
            if (isOver(index)) worstExcess = maxOf(worstExcess, windowGranted[index] / limit - 1.0)
            windowGranted[index] = 0.0
        }
    }

    private fun outcome(): QuotaOutcome {
        val seconds = MEASURED.toDouble(DurationUnit.SECONDS)
        val permitted =
            DoubleArray(organisationCount) {
                minOf(offered[it], limits.getValue(workload.organisations[it].name) * seconds)
            }
        val below = (0 until organisationCount).filterNot { isOver(it) }
        return QuotaOutcome(
            error = (0 until organisationCount).sumOf { abs(granted[it] - permitted[it]) } / permitted.sum(),
            excess = (0 until organisationCount).sumOf { maxOf(0.0, granted[it] - permitted[it]) } / permitted.sum(),
            worstExcess = worstExcess,
            refusedBelowLimit = 1.0 - below.sumOf { granted[it] } / below.sumOf { offered[it] },
            bytesPerSecond = 2.0 * network.bytes / gatewayCount / (warmUp + MEASURED).toDouble(DurationUnit.SECONDS),
        )
    }

    private companion object {
        const val WATCHED = 10
        const val ZONES = 3
        val MEASURED = 90.seconds
        val WINDOW = 10.seconds
        val RESTART_INTERVAL = 15.seconds
        val VIEW_DELAY = 2.seconds
    }
}
