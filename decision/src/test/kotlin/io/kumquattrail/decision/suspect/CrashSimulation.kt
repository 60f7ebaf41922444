package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val SERVERS = 16
private const val GATEWAYS = 2
private const val TICKS = 600
private const val TICKS_PER_RESEND = 20
private const val TICKS_OF_SERVICE = 10
private const val TICKS_OF_RESTART = 100
private const val PEERS = 3
private const val LOSS = 0.1
private const val KILLER = "killer"
private val TICK = 50.milliseconds

data class CrashResult(
    val serversLost: Int,
    val innocentBlocked: Int,
    val completed: Int,
)

/** Runs 30 s of a fleet in ticks of 50 ms; each process exchanges reports with three peers every fourth tick. */
class CrashSimulation(
    seed: Long,
    private val tracks: Boolean,
) {
    private class Running(
        val fingerprint: String,
        val gateway: Int,
        val alone: Boolean,
        val endsAt: Int,
    )

    private class Server(
        val incarnation: Incarnation,
    ) {
        val running = mutableListOf<Running>()
        val name = ServerName("server-$incarnation")
        var upAt = 0
        var reserved = false

        fun accepts(tick: Int): Boolean = upAt <= tick && !reserved && running.none { it.alone }
    }

    private class Waiting(
        val fingerprint: String,
        val gateway: Int,
    )

    private val random = Random(seed)
    private val trackers = List(GATEWAYS + SERVERS) { SuspectTracker() }
    private val servers = List(SERVERS) { Server(Incarnation(0, it.toLong())) }
    private var waiting = listOf<Waiting>()
    private var serversLost = 0
    private var innocentBlocked = 0
    private var completed = 0

    fun run(): CrashResult {
        repeat(TICKS) { tick ->
            val now = MonotonicTime.ZERO + TICK * tick
            repeat(4) { waiting += Waiting("request-$tick-$it", gateway = random.nextInt(GATEWAYS)) }
            if (tick % TICKS_PER_RESEND == 0) waiting += Waiting(KILLER, gateway = tick / TICKS_PER_RESEND % GATEWAYS)
            servers.forEach { it.reserved = false }
            waiting = waiting.filterNot { place(it, tick, now) }
            servers.forEachIndexed { index, server -> advance(index, server, tick, now) }
            if (tick % 4 == 0) exchange(now)
        }
        return CrashResult(serversLost, innocentBlocked, completed)
    }

    private fun place(
        request: Waiting,
        tick: Int,
        now: MonotonicTime,
    ): Boolean {
        val treatment = if (tracks) trackers[request.gateway].treatment(request.fingerprint, now) else Treatment.Normal
        val alone = treatment == Treatment.Alone
        val asked = if (alone) ranked(request.fingerprint) else servers.filter { it.accepts(tick) }.shuffled(random)
        val server = asked.find { it.upAt <= tick || isBlocked(request.fingerprint, it, now) }
        if (treatment is Treatment.Blocked || (server != null && isBlocked(request.fingerprint, server, now))) {
            if (request.fingerprint != KILLER) innocentBlocked++
            return true
        }
        if (server == null) return false
        server.reserved = alone && server.running.isNotEmpty()
        if (server.reserved) return false
        server.running += Running(request.fingerprint, request.gateway, alone, endsAt = tick + TICKS_OF_SERVICE)
        return true
    }

    private fun ranked(fingerprint: String): List<Server> =
        LoneRunPlacement.rank(fingerprint, servers.map { it.name }).map { name -> servers.first { it.name == name } }

    private fun isBlocked(
        fingerprint: String,
        server: Server,
        now: MonotonicTime,
    ): Boolean = tracks && trackers[GATEWAYS + servers.indexOf(server)].treatment(fingerprint, now) is Treatment.Blocked

    private fun advance(
        index: Int,
        server: Server,
        tick: Int,
        now: MonotonicTime,
    ) {
        val agent = trackers[GATEWAYS + index]
        val ended = server.running.filter { it.endsAt <= tick }
        if (ended.any { it.fingerprint == KILLER }) {
            serversLost++
            server.upAt = tick + TICKS_OF_RESTART
            val alone = server.running.singleOrNull()?.alone == true
            val crash = Crash(server.incarnation, server.running.map { it.fingerprint }.toSet(), alone)
            (server.running.map { trackers[it.gateway] } + agent).forEach { it.crashed(crash, now) }
            waiting += server.running.map { Waiting(it.fingerprint, it.gateway) }
            server.running.clear()
        }
        ended.filter { it in server.running }.forEach {
            completed++
            agent.completed(it.fingerprint, now)
            trackers[it.gateway].completed(it.fingerprint, now)
            server.running -= it
        }
    }

    private fun exchange(now: MonotonicTime) =
        trackers.forEach { sender ->
            trackers.shuffled(random).take(PEERS).filter { random.nextDouble() > LOSS }.forEach { receiver ->
                receiver.merge(sender.reports(now, most = 32), now)
            }
        }
}
