package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val SERVERS = 16
private const val GATEWAYS = 2
private const val TICKS = 600
private const val RESEND_TICKS = 20
private const val RUN_TICKS = 10
private const val RESTART_TICKS = 100
private const val PEERS = 3
private const val MESSAGE_LOSS = 0.1
private const val FATAL = "killer"
private val TICK = 50.milliseconds

data class CrashResult(
    val serversLost: Int,
    val harmlessBlocked: Int,
    val completed: Int,
)

/**
 * Simulates 30 s of a fleet in ticks of 50 ms. Each process sends its reports to three peers every fourth tick.
 *
 * @property tracked whether the processes follow the execution policies of their trackers.
 */
class CrashSimulation(
    seed: Long,
    private val tracked: Boolean,
) {
    private class Running(
        val fingerprint: String,
        val gateway: Int,
        val isolated: Boolean,
        val finishTick: Int,
    )

    private class Server(
        val incarnation: Incarnation,
    ) {
        val running = mutableListOf<Running>()
        val name = ServerName("server-$incarnation")
        var upFromTick = 0
        var reserved = false

        fun accepts(tick: Int): Boolean = upFromTick <= tick && !reserved && running.none { it.isolated }
    }

    private class QueuedRequest(
        val fingerprint: String,
        val gateway: Int,
    )

    private val random = Random(seed)
    private val trackers = List(GATEWAYS + SERVERS) { SuspectTracker() }
    private val servers = List(SERVERS) { Server(Incarnation(0, it.toLong())) }
    private var queue = listOf<QueuedRequest>()
    private var serversLost = 0
    private var harmlessBlocked = 0
    private var completed = 0

    fun run(): CrashResult {
        repeat(TICKS) { tick ->
            val now = MonotonicTime.ZERO + TICK * tick
            repeat(4) { queue += QueuedRequest("request-$tick-$it", gateway = random.nextInt(GATEWAYS)) }
            if (tick % RESEND_TICKS == 0) queue += QueuedRequest(FATAL, gateway = tick / RESEND_TICKS % GATEWAYS)
            servers.forEach { it.reserved = false }
            queue = queue.filterNot { place(it, tick, now) }
            servers.forEachIndexed { index, server -> advance(index, server, tick, now) }
            if (tick % 4 == 0) exchange(now)
        }
        return CrashResult(serversLost, harmlessBlocked, completed)
    }

    private fun place(
        request: QueuedRequest,
        tick: Int,
        now: MonotonicTime,
    ): Boolean {
        val policy =
            if (tracked) trackers[request.gateway].executionPolicy(request.fingerprint, now) else ExecutionPolicy.Normal
        val isolated = policy == ExecutionPolicy.Isolated
        val order = if (isolated) ranked(request.fingerprint) else servers.filter { it.accepts(tick) }.shuffled(random)
        val server = order.find { it.upFromTick <= tick || isBlocked(request.fingerprint, it, now) }
        if (policy is ExecutionPolicy.Blocked || (server != null && isBlocked(request.fingerprint, server, now))) {
            if (request.fingerprint != FATAL) harmlessBlocked++
            return true
        }
        if (server == null) return false
        server.reserved = isolated && server.running.isNotEmpty()
        if (server.reserved) return false
        server.running += Running(request.fingerprint, request.gateway, isolated, finishTick = tick + RUN_TICKS)
        return true
    }

    private fun ranked(fingerprint: String): List<Server> =
        IsolatedRunPlacement.rank(fingerprint, servers.map { it.name }).map { name ->
            servers.first { it.name == name }
        }

    private fun isBlocked(
        fingerprint: String,
        server: Server,
        now: MonotonicTime,
    ): Boolean =
        tracked &&
            trackers[GATEWAYS + servers.indexOf(server)].executionPolicy(fingerprint, now) is ExecutionPolicy.Blocked

    private fun advance(
        index: Int,
        server: Server,
        tick: Int,
        now: MonotonicTime,
    ) {
        val agent = trackers[GATEWAYS + index]
        val due = server.running.filter { it.finishTick <= tick }
        if (due.any { it.fingerprint == FATAL }) {
            serversLost++
            server.upFromTick = tick + RESTART_TICKS
            val isolated = server.running.singleOrNull()?.isolated == true
            val crash = Crash(server.incarnation, server.running.map { it.fingerprint }.toSet(), isolated)
            (server.running.map { trackers[it.gateway] } + agent).forEach { it.recordCrash(crash, now) }
            queue += server.running.map { QueuedRequest(it.fingerprint, it.gateway) }
            server.running.clear()
        }
        due.filter { it in server.running }.forEach {
            completed++
            agent.recordCompletion(it.fingerprint, now)
            trackers[it.gateway].recordCompletion(it.fingerprint, now)
            server.running -= it
        }
    }

    private fun exchange(now: MonotonicTime) =
        trackers.forEach { sender ->
            trackers.shuffled(random).take(PEERS).filter { random.nextDouble() > MESSAGE_LOSS }.forEach { receiver ->
                receiver.merge(sender.reports(now, limit = 32), now)
            }
        }
}
