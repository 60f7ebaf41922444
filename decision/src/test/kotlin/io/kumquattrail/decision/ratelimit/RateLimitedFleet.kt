package io.kumquattrail.decision.ratelimit

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val TICK = 20.milliseconds
private val EXCHANGE_INTERVAL = 400.milliseconds
private val PEER_TIMEOUT = 1_500.milliseconds

/** Time from a gateway's first answer with the limit, after which its requests count. */
private val TOLD_AFTER = 500.milliseconds

/** Window in which requests count, with the factor and the number of requests by which they may exceed the limit. */
private val WINDOW = 4.seconds
private const val TOLERANCE_FACTOR = 1.5
private const val TOLERANCE_REQUESTS = 5

/**
 * Gateways that send one server as many requests as their limiters allow, and exchange what they know in messages that
 * are lost or late.
 *
 * @property limitAt returns what the server names in an answer at a time since the start; `null` for no limit.
 * @property isRunning returns whether a gateway runs at a time since the start.
 * @property demandPerSecond requests per second that each gateway would send without a limit.
 */
internal class RateLimitedFleet(
    private val gateways: Int,
    seed: Int,
    private val messageLoss: Double = 0.2,
    private val demandPerSecond: Double = 3.0,
    private val isRunning: (Int, Duration) -> Boolean = { _, _ -> true },
    private val limitAt: (Duration) -> Double?,
) {
    private val random = Random(seed)
    private val server = ServerIncarnation(ServerName("s1"), incarnation = 1)
    private val names = List(gateways) { ProcessName("10.0.0.$it:7400") }
    private val nodes = List(gateways) { Node(it) }
    private val messages = ArrayList<Message>()
    private var time = Duration.ZERO

    /** Times of the requests that reached the server, those of gateways that had not been told included. */
    val arrivals = ArrayList<Duration>()
    private val countedArrivals = ArrayList<Duration>()

    /** Runs the fleet for [length]. */
    fun run(length: Duration) {
        while (time < length) {
            nodes.filter { isRunning(it.index, time) }.shuffled(random).forEach(::step)
            deliverMessages()
            time += TICK
        }
    }

    /** Returns the largest number of requests beyond what a window allows, from told gateways, while [limit] holds. */
    fun largestExcess(
        limit: Double,
        from: Duration,
        until: Duration,
    ): Double {
        val counted = countedArrivals.filter { it in from..until }
        val most = counted.maxOfOrNull { start -> counted.count { it >= start && it - start <= WINDOW } } ?: 0
        return most - (limit * TOLERANCE_FACTOR * WINDOW.inWholeSeconds + TOLERANCE_REQUESTS)
    }

    private fun step(node: Node) {
        val now = MonotonicTime.ZERO + time
        if (time >= node.nextExchange) {
            node.nextExchange = time + EXCHANGE_INTERVAL
            node.limiter.updateMembers(node.alivePeers(), now)
            nodes.filter { it !== node }.forEach { peer ->
                val isLost = random.nextDouble() < messageLoss
                if (!isLost) messages += Message(node, peer, node.limits.reports(now), time + delay())
            }
        }
        if (random.nextDouble() > demandPerSecond * (TICK / 1.seconds)) return
        val limit = node.limits.limitOf(server)
        if (limit != null && !node.limiter.mayStart(server.name, limit, now)) return
        node.limiter.recordSend(server.name)
        arrivals += time
        node.toldAt?.let { if (time - it >= TOLD_AFTER) countedArrivals += time }
        val named = limitAt(time)
        if (named != null && node.toldAt == null) node.toldAt = time
        if (named == null) node.toldAt = null
        val notice = named?.let { RateLimitNotice.Limited(it) } ?: RateLimitNotice.Unlimited
        node.limits.recordAnswer(server, notice, now)
    }

    private fun deliverMessages() {
        val now = MonotonicTime.ZERO + time
        messages.filter { it.arrivesAt <= time }.forEach { message ->
            messages -= message
            if (!isRunning(message.to.index, time)) return@forEach
            message.to.lastMessages[message.from.index] = time
            message.to.limits.merge(message.reports, now)
        }
    }

    private fun delay(): Duration =
        if (random.nextDouble() <
            0.1
        ) {
            300.milliseconds
        } else {
            random.nextInt(1, 20).milliseconds
        }

    private inner class Node(
        val index: Int,
    ) {
        val limits = NamedRateLimits()
        val limiter = SharedRateLimiter(self = names[index], minimumProcesses = minOf(gateways, 4))
        val lastMessages = HashMap<Int, Duration>()
        var nextExchange = random.nextInt(400).milliseconds
        var toldAt: Duration? = null

        fun alivePeers() = lastMessages.filterValues { time - it < PEER_TIMEOUT }.keys.map { names[it] }
    }

    private class Message(
        val from: Node,
        val to: Node,
        val reports: List<RateLimitReport>,
        val arrivesAt: Duration,
    )
}
