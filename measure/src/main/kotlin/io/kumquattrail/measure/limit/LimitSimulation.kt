package io.kumquattrail.measure.limit

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.abs
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Runs gateways and agents under [load] times their capacity, with callers that repeat refused and late requests.
 *
 * One gateway terminates after a fifth of the measured time and returns after three fifths.
 */
internal class LimitSimulation(
    private val policy: LimitPolicy,
    private val organisationCount: Int,
    private val gatewayCount: Int,
    private val load: Double,
    private val seed: Long,
) {
    private val duration = policy.warmUp + MEASURED
    private val events = EventQueue()
    private val random = Random(seed)
    private val workload = Workload.of(organisationCount, CAPACITY, Random(seed + 1))
    private val limits = workload.organisations.associate { it.name to it.tokensPerSecond }
    private val agents =
        List(SERVERS) { SimulatedAgent(ServerName("server-$it"), policy.queue(), events) }
    private val names = List(gatewayCount) { ProcessName("10.0.0.${it + 1}:7000") }
    private val gateways = HashMap<ProcessName, SimulatedGateway>()
    private val peers = HashMap<ProcessName, QuotaNetwork.Peer>()
    private val network = QuotaNetwork(events, random) { peers[it] }
    private var liveNames = names
    private val tallies = List(organisationCount) { Tally() }
    private val byPriority = HashMap<Int, PriorityTally>()

    fun run(): LimitOutcome {
        names.forEach { startGateway(it) }
        updateViews()
        agents.forEach { agent ->
            events.every(REPORT_INTERVAL, REPORT_INTERVAL * random.nextDouble()) {
                gateways.values.forEach { it.shedder?.observe(agent.name, agent.load, events.now) }
            }
            events.every(EXPIRY_INTERVAL, EXPIRY_INTERVAL * random.nextDouble()) { agent.tick() }
        }
        events.after(policy.warmUp + MEASURED / 5) { stopGateway(names.last()) }
        events.after(policy.warmUp + MEASURED * 3 / 5) { restartGateway(names.last()) }
        scheduleNext()
        events.runUntil(MonotonicTime.ZERO + duration + DEADLINE * 2)
        return outcome()
    }

    private fun scheduleNext() {
        events.after(workload.secondsUntilNext(load * CAPACITY / Workload.meanTokens).seconds) {
            if (events.now < MonotonicTime.ZERO + duration) {
                sendFresh()
                scheduleNext()
            }
        }
    }

    private fun sendFresh() {
        val index = workload.organisation()
        val output = workload.outputTokens()
        val request =
            Request(
                index = index,
                estimatedTokens = Workload.PROMPT_TOKENS + output,
                actualTokens = Workload.PROMPT_TOKENS + (output * workload.outputFactor()).toInt(),
                isCounted = events.now >= MonotonicTime.ZERO + policy.warmUp,
            )
        if (request.isCounted) {
            tallies[index].fresh += request.actualTokens
            priorityTally(index).fresh += 1
        }
        send(request)
    }

    private fun send(request: Request) {
        val gateway = gateways.getValue(liveNames[random.nextInt(liveNames.size)])
        val organisation = workload.organisations[request.index]
        val sent = events.now
        val deadline = sent + DEADLINE
        var isOpen = true
        val tally = tallies[request.index]
        val inWindow = sent >= MonotonicTime.ZERO + policy.warmUp
        if (inWindow) tally.offered += request.actualTokens
        gateway.handle(
            CallerAttempt(
                organisation = organisation,
                estimatedTokens = request.estimatedTokens,
                actualTokens = request.actualTokens,
                deadline = deadline,
                onGranted = { if (inWindow) tally.granted += request.actualTokens },
                onFinished = {
                    if (isOpen && events.now <= deadline) succeed(request)
                    isOpen = false
                },
                onRefused = { refusal, retryAfter ->
                    if (isOpen) {
                        isOpen = false
                        if (request.isCounted && refusal == Refusal.OVERLOAD) priorityTally(request.index).refused += 1
                        if (request.isCounted) priorityTally(request.index).attempts += 1
                        repeat(request, retryAfter)
                    }
                },
            ),
        )
        events.after(DEADLINE) {
            if (isOpen) {
                isOpen = false
                repeat(request, Duration.ZERO)
            }
        }
    }

    private fun succeed(request: Request) {
        if (!request.isCounted) return
        tallies[request.index].served += request.actualTokens
        priorityTally(request.index).attempts += 1
    }

    /** Half of the organisations' callers wait as told; the others return after half a second whatever they are told. */
    private fun repeat(
        request: Request,
        retryAfter: Duration,
    ) {
        if (request.repetitions >= MOST_REPETITIONS) return
        request.repetitions += 1
        val told = if (request.index % 2 == 0) maxOf(retryAfter, IMPATIENT_DELAY) else IMPATIENT_DELAY
        events.after(told * random.nextDouble(0.8, 1.2)) { send(request) }
    }

    private fun startGateway(name: ProcessName) {
        val gateway = SimulatedGateway(name, policy, agents, events, random) { limits[it] }
        gateways[name] = gateway
        val quota = gateway.quota ?: return
        val peer = QuotaNetwork.Peer(quota, gateway.owner)
        peers[name] = peer
        network.start(name, peer)
    }

    private fun stopGateway(name: ProcessName) {
        peers.remove(name)
        liveNames = liveNames - name
        events.after(VIEW_DELAY) { updateViews() }
    }

    private fun restartGateway(name: ProcessName) {
        startGateway(name)
        liveNames = liveNames + name
        gateways.getValue(name).quota?.updateGateways(liveNames, events.now)
        gateways.getValue(name).owner.updateGateways(liveNames)
        events.after(VIEW_DELAY) { updateViews() }
    }

    private fun updateViews() {
        liveNames.map { gateways.getValue(it) }.forEach {
            it.quota?.updateGateways(liveNames, events.now)
            it.owner.updateGateways(liveNames)
        }
    }

    private fun priorityTally(index: Int) =
        byPriority.getOrPut(workload.organisations[index].priority) { PriorityTally() }

    private fun outcome(): LimitOutcome {
        val seconds = MEASURED.toDouble(DurationUnit.SECONDS)
        val allowed = workload.organisations.map { it.tokensPerSecond * seconds }
        val demands = DoubleArray(organisationCount) { minOf(tallies[it].fresh, allowed[it]) }
        val shares = FairShares.of(workload.organisations, demands, CAPACITY * seconds, RESERVED_SHARE)
        val counted = shares.indices.filter { shares[it] >= COUNTED_REQUESTS * Workload.meanTokens }
        val errors = counted.map { abs(tallies[it].served - shares[it]) / shares[it] }.sorted()
        val permitted = tallies.indices.map { minOf(tallies[it].offered, allowed[it]) }
        val goodput = tallies.sumOf { it.served } / seconds
        return LimitOutcome(
            shareErrorMean = errors.average(),
            shareErrorP99 = errors[minOf(errors.lastIndex, ceil(errors.size * P99).toInt() - 1)],
            starved = counted.count { tallies[it].served < STARVED_BELOW * shares[it] },
            goodput = goodput,
            goodputOfCapacity = goodput / CAPACITY,
            shedLowPriorityFirst = shedLowPriorityFirst(),
            quotaError = tallies.indices.sumOf { abs(tallies[it].granted - permitted[it]) } / permitted.sum(),
            quotaExcess =
                tallies.indices.sumOf { maxOf(0.0, tallies[it].granted - permitted[it]) } / permitted.sum(),
            quotaBytesPerSecond = 2.0 * network.bytes / gatewayCount / duration.toDouble(DurationUnit.SECONDS),
        )
    }

    private fun shedLowPriorityFirst(): Boolean {
        val shares = byPriority.toSortedMap().values.map { it.refused.toDouble() / maxOf(1, it.attempts) }
        return shares.zipWithNext().all { (low, high) -> low + TOLERANCE >= high }
    }

    private class Request(
        val index: Int,
        val estimatedTokens: Int,
        val actualTokens: Int,
        val isCounted: Boolean,
        var repetitions: Int = 0,
    )

    private class Tally {
        var fresh = 0.0
        var offered = 0.0
        var granted = 0.0
        var served = 0.0
    }

    private class PriorityTally {
        var fresh = 0
        var attempts = 0
        var refused = 0
    }

    companion object {
        const val SERVERS = 8
        const val CAPACITY = SERVERS * SimulatedAgent.TOKENS_PER_SECOND
        private const val RESERVED_SHARE = 0.1
        private const val COUNTED_REQUESTS = 5
        private const val STARVED_BELOW = 0.1
        private const val P99 = 0.99
        private const val TOLERANCE = 0.005
        private const val MOST_REPETITIONS = 3
        private val MEASURED = 80.seconds
        private val DEADLINE = 4.seconds
        private val REPORT_INTERVAL = 1.seconds
        private val EXPIRY_INTERVAL = 50.milliseconds
        private val IMPATIENT_DELAY = 500.milliseconds
        private val VIEW_DELAY = 2.seconds
    }
}
