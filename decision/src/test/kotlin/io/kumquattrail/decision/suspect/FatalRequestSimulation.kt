package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.placement.EvenPlacement
import io.kumquattrail.decision.placement.LoadTable
import io.kumquattrail.decision.placement.PlacementDecision
import io.kumquattrail.decision.placement.SuspectIsolation
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 25.milliseconds
private const val TICKS = 1_200
private const val TICKS_PER_COPY = 20
private const val TICKS_PER_ROUND = 16
private const val TICKS_OF_RESTART = 80
private const val TICKS_TO_END = 1
private const val LOSS = 0.1

/** @property othersRefused refusals of requests that end no server. */
internal data class FatalRequestResult(
    val serversLost: Int,
    val othersRefused: Int,
    val completed: Int,
)

/**
 * Runs 30 s of gateways before few servers in ticks of 25 ms. Callers send slow requests of their own again and again; a
 * request that is cut is sent again at another gateway, as its caller returns.
 */
internal class FatalRequestSimulation(
    seed: Long,
    servers: Int = 3,
    gateways: Int = 5,
    callers: Int = 8,
) {
    private val random = Random(seed)
    private val fleet = List(servers) { Server(it) }
    private val gateways = List(gateways) { Gateway() }
    private val fatal = RequestFingerprint("fatal")
    private var waiting = List(callers) { RequestFingerprint("letter-$it") }
    private var serversLost = 0
    private var othersRefused = 0
    private var completed = 0

    fun run(): FatalRequestResult {
        repeat(TICKS) { tick ->
            val now = MonotonicTime.ZERO + TICK * tick
            val arriving = if (tick % TICKS_PER_COPY == 0) waiting + fatal else waiting
            waiting = emptyList()
            arriving.forEach { send(it, gateways.random(random), tick, now) }
            fleet.forEach { advance(it, tick, now) }
            if (tick % TICKS_PER_ROUND == 0) gateways.forEach { tell(it, now) }
        }
        return FatalRequestResult(serversLost, othersRefused, completed)
    }

    private fun send(
        fingerprint: RequestFingerprint,
        gateway: Gateway,
        tick: Int,
        now: MonotonicTime,
    ) {
        val suspicion = gateway.ledger.judge(fingerprint, now)
        if (suspicion is Suspicion.Fatal && fingerprint != fatal) othersRefused += 1
        if (suspicion is Suspicion.Fatal || suspicion is Suspicion.Deferred) return returnLater(fingerprint)
        val isSuspect = suspicion is Suspicion.Suspect
        val occupied = fleet.filter { server -> server.running.any { it.gateway === gateway && it.isSuspect } }
        val decision =
            gateway.placement.choose(
                servers = fleet.filter { it.upAt <= tick }.map { it.registration },
                excluded = emptySet(),
                now = now,
                tieBreak = random.nextInt(Int.MAX_VALUE),
                isolation =
                    SuspectIsolation(fingerprint.value, occupied.mapTo(HashSet()) { it.name }).takeIf { isSuspect },
            )
        if (decision !is PlacementDecision.Place) return returnLater(fingerprint)
        val duration = if (fingerprint == fatal) TICKS_TO_END else random.nextInt(20, 36)
        gateway.loads.started(decision.server.name)
        fleet.first { it.name == decision.server.name }.running +=
            Running(fingerprint, gateway, isSuspect, sentAt = tick, endsAt = tick + duration)
    }

    private fun advance(
        server: Server,
        tick: Int,
        now: MonotonicTime,
    ) {
        val due = server.running.filter { it.endsAt <= tick }
        if (due.any { it.fingerprint == fatal }) return end(server, tick, now)
        due.forEach { run ->
            completed += 1
            run.gateway.loads.recordEnd(server.name)
            run.gateway.ledger.completed(run.fingerprint, now)
            returnLater(run.fingerprint)
        }
        server.running -= due.toSet()
    }

    private fun end(
        server: Server,
        tick: Int,
        now: MonotonicTime,
    ) {
        serversLost += 1
        server.running.forEach { run ->
            run.gateway.loads.recordEnd(server.name)
            run.gateway.ledger.inProgressAt(ServerEnd(server.name), run.fingerprint, TICK * (tick - run.sentAt), now)
            returnLater(run.fingerprint)
        }
        server.running
            .filter { it.gateway.ledger.endsHeldAgainst(it.fingerprint) > 1 }
            .forEach { tell(it.gateway, now) }
        server.running = emptyList()
        server.starts += 1
        server.upAt = tick + TICKS_OF_RESTART
    }

    private fun returnLater(fingerprint: RequestFingerprint) {
        if (fingerprint != fatal) waiting += fingerprint
    }

    private fun tell(
        sender: Gateway,
        now: MonotonicTime,
    ) = gateways.filter { it !== sender && random.nextDouble() > LOSS }.forEach {
        it.ledger.merge(sender.ledger.reports(now, most = 32), now)
    }

    private class Gateway {
        val loads = LoadTable()
        val ledger = FatalRequestLedger()
        val placement = EvenPlacement(loads, ZoneName("a"))
    }

    private class Server(
        private val index: Int,
    ) {
        var starts = 1
        var upAt = 0
        var running = emptyList<Running>()
        val name get() = ServerName("s$index-$starts")
        val registration get() = BackendServer(name, ServiceName("desk"), "10.0.0.$index", 80, ZoneName("a"), slots = 6)
    }

    private class Running(
        val fingerprint: RequestFingerprint,
        val gateway: Gateway,
        val isSuspect: Boolean,
        val sentAt: Int,
        val endsAt: Int,
    )
}
