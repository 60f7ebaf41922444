package io.kumquattrail.measure.routing

import io.kumquattrail.decision.admission.ServerLimits
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.routing.CacheEvent
import io.kumquattrail.decision.routing.RoutingPolicy
import io.kumquattrail.decision.routing.RoutingTarget
import io.kumquattrail.decision.routing.ServerSubset
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes a fleet and its traffic.
 *
 * @property requestsPerSecond requests of all callers.
 * @property reportAge mean age of the load reports with which gateways decide.
 * @property slowShare share of the servers that need [SLOWNESS] times as long for a step.
 * @property stragglers servers that need [STRAGGLER_SLOWDOWN] times as long for some of the time.
 */
internal data class FleetOptions(
    val seed: Long,
    val runners: Int,
    val gateways: Int,
    val zones: Int = 3,
    val organisations: Int,
    val requestsPerSecond: Double,
    val reportAge: Duration,
    val slowShare: Double = 0.125,
    val stragglers: Int = 0,
    val limits: ServerLimits = MODEL_LIMITS,
    val policy: (random: Random, zone: ZoneName) -> RoutingPolicy,
) {
    companion object {
        const val SLOWNESS = 1.4
        const val STRAGGLER_SLOWDOWN = 4.0
        val MODEL_LIMITS =
            ServerLimits(warmConcurrency = 64, warmTokens = 256_000, coldConcurrency = 4, coldTokens = 16_000)
    }
}

/** Runs gateways with the product's policies in front of agents with the product's admission, on virtual time. */
internal class FleetModel(
    private val options: FleetOptions,
    val events: EventQueue = EventQueue(),
) {
    val figures = Figures()
    private val random = Random(options.seed)
    private val workload = Workload(Random(options.seed + 1), options.organisations)
    private val arrivals = Random(options.seed + 2)
    private val faults = Random(options.seed + 3)

    /** Servers as their records describe them, by name. */
    private val targets = LinkedHashMap<ServerName, RoutingTarget>()
    val agents = LinkedHashMap<ServerName, AgentModel>()
    val gateways: List<GatewayModel>
    private val subscribers = HashMap<ServerName, ArrayList<GatewayModel>>()
    private val subsets: List<Set<ServerName>>
    private var calls = 0L

    /** Receives each call at its end. */
    var onCallEnd: (Call, CallEnd) -> Unit = { _, _ -> }

    /** Age of the load reports from now on. */
    var reportAge = options.reportAge

    init {
        repeat(options.runners) { addServer(it) }
        gateways =
            List(options.gateways) { index ->
                val zone = zoneName(index)
                val policy = options.policy(Random(random.nextLong()), zone)
                GatewayModel(events, zone, policy, agents::getValue, figures, Random(random.nextLong()))
            }
        subsets =
            gateways.mapIndexed { index, gateway ->
                val chosen = ServerSubset().choose(ProcessName("gateway-$index"), targets.values.toList())
                chosen.forEach { subscribers.getOrPut(it.name) { ArrayList() } += gateway }
                chosen.mapTo(HashSet()) { it.name }
            }
        gateways.indices.forEach(::updateTargets)
        agents.values.forEach {
            it.publish(inService = true)
            it.endColdStart()
        }
        agents.values.forEach(::startReports)
    }

    /** Starts traffic with about as many sessions under way as there are in the long run. */
    fun startTraffic() {
        val sessions = (options.requestsPerSecond / Workload.MEAN_TURNS * Workload.SESSION_TIME.inWholeSeconds).toInt()
        repeat(sessions) {
            val session = workload.newSession(gateways.size)
            repeat(arrivals.nextInt(session.turns)) { workload.nextRequest(session) }
            events.after(Workload.SESSION_TIME / Workload.MEAN_TURNS * arrivals.nextDouble()) { nextTurn(session) }
        }
        startSessions()
    }

    /** Starts callers' sessions as a Poisson process. */
    private fun startSessions() {
        val sessionsPerSecond = options.requestsPerSecond / Workload.MEAN_TURNS
        val pause = (-ln(1 - arrivals.nextDouble()) / sessionsPerSecond).seconds
        events.after(pause) {
            nextTurn(workload.newSession(gateways.size))
            startSessions()
        }
    }

    fun submit(
        request: ModelRequest,
        gateway: GatewayModel,
        onEnd: (CallEnd) -> Unit = {},
    ) {
        val call =
            Call(calls++, request, events.now, events.now + CALL_TIME) { call, end ->
                onCallEnd(call, end)
                onEnd(end)
            }
        gateway.submit(call)
    }

    /** Records the spread of load every 250 ms. */
    fun startSpreadSamples() =
        events.every(250.milliseconds, Duration.ZERO) {
            figures.recordSpread(agents.values.filter { !it.load.draining }.map { it.load.tokensInFlight.toDouble() })
        }

    /** Lets random servers straggle, each for [STRAGGLER_TIME]. */
    fun startStragglers() {
        if (options.stragglers == 0) return
        events.every(STRAGGLER_TIME, Duration.ZERO) {
            agents.values.forEach { it.model.slowdown = 1.0 }
            agents.values.shuffled(faults).take(options.stragglers).forEach {
                it.model.slowdown = FleetOptions.STRAGGLER_SLOWDOWN
            }
        }
    }

    /** Publishes whether [zone] is in service; every process learns it after a delay of its own. */
    fun publishZone(
        zone: ZoneName,
        inService: Boolean,
        delay: () -> Duration,
    ) {
        targets.replaceAll { _, target -> if (target.zone == zone) target.copy(inService = inService) else target }
        agents.values.filter { it.zone == zone }.forEach { agent ->
            events.after(delay()) { agent.publish(inService) }
        }
        gateways.forEachIndexed { index, gateway -> gateway.receive(delay()) { updateTargets(index) } }
    }

    private fun updateTargets(gateway: Int) {
        val subset = subsets[gateway]
        gateways[gateway].policy.updateTargets(targets.values.filter { it.name in subset })
    }

    private fun nextTurn(session: Session) {
        val sticky = arrivals.nextDouble() < STICKINESS
        val gateway = gateways[if (sticky) session.gateway else arrivals.nextInt(gateways.size)]
        submit(workload.nextRequest(session), gateway) {
            if (session.turn < session.turns) events.after(workload.thinkTime()) { nextTurn(session) }
        }
    }

    private fun addServer(index: Int) {
        val name = ServerName("server-$index")
        val limits = options.limits
        val target =
            RoutingTarget(
                name = name,
                zone = zoneName(index),
                warmConcurrency = limits.warmConcurrency,
                coldConcurrency = limits.coldConcurrency,
            )
        val isSlow = index * options.slowShare % 1.0 + options.slowShare >= 1.0
        val profile = RunnerProfile(limits, slowness = if (isSlow) FleetOptions.SLOWNESS else 1.0)
        val runner = RunnerModel(events, profile, figures)
        targets[name] = target
        agents[name] = AgentModel(events, target, limits, runner, Random(random.nextLong()))
        startCacheEvents(agents.getValue(name))
    }

    private fun startReports(agent: AgentModel) {
        val first = reportAge * random.nextDouble()

        fun report() {
            val load = agent.load
            val takenAt = events.now
            subscribers[agent.name]?.let { receivers ->
                events.after(reportAge / 2) {
                    receivers.forEach { it.receiveNow { it.policy.onLoadReport(agent.name, load, takenAt) } }
                }
            }
            events.after(reportAge, ::report)
        }
        events.after(first, ::report)
    }

    /** Sends cache events in batches every second; some batches are lost. */
    private fun startCacheEvents(agent: AgentModel) {
        val stored = ArrayList<Long>()
        val removed = ArrayList<Long>()
        var sequence = 0L
        agent.cacheListener = { change ->
            stored += change.added
            removed += change.removed
        }
        events.every(CACHE_EVENT_INTERVAL, CACHE_EVENT_INTERVAL * random.nextDouble()) {
            val event = CacheEvent(agent.name, sequence++, stored.toList(), removed.toList())
            stored.clear()
            removed.clear()
            if (random.nextDouble() >= CACHE_EVENT_LOSS) {
                subscribers[agent.name]?.forEach { it.receiveNow { it.policy.onCacheEvent(event) } }
            }
        }
    }

    private fun zoneName(index: Int) = ZoneName("zone-${index % options.zones}")

    private companion object {
        const val STICKINESS = 0.8
        const val CACHE_EVENT_LOSS = 0.05
        val CACHE_EVENT_INTERVAL = 1.seconds
        val STRAGGLER_TIME = 8.seconds
        val CALL_TIME = 30.seconds
    }
}
