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
private const val RESEND_TICKS = 20
private const val REPORT_TICKS = 16
private const val RESTART_TICKS = 80
private const val TICKS_TO_CRASH = 1
private const val MESSAGE_LOSS = 0.1

/** @property othersRefused refusals of requests that crash no server. */
internal data class FatalRequestResult(
    val serversLost: Int,
    val othersRefused: Int,
    val completed: Int,
)

/**
 * Simulates 30 s of gateways in front of a few servers, in ticks of 25 ms. Each caller repeatedly sends a slow request
 * of its own, and sends it again through another gateway when a crash interrupts it.
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
    private var queue = List(callers) { RequestFingerprint("letter-$it") }
    private var serversLost = 0
    private var othersRefused = 0
    private var completed = 0

    fun run(): FatalRequestResult {
        repeat(TICKS) { tick ->
            val now = MonotonicTime.ZERO + TICK * tick
            val requests = if (tick % RESEND_TICKS == 0) queue + fatal else queue
            queue = emptyList()
            requests.forEach { send(it, gateways.random(random), tick, now) }
            fleet.forEach { advance(it, tick, now) }
            if (tick % REPORT_TICKS == 0) gateways.forEach { sendReports(it, now) }
        }
        return FatalRequestResult(serversLost, othersRefused, completed)
    }

    private fun send(
        fingerprint: RequestFingerprint,
        gateway: Gateway,
        tick: Int,
        now: MonotonicTime,
    ) {
        val suspicion = gateway.ledger.classify(fingerprint, now)
        if (suspicion is Suspicion.Fatal && fingerprint != fatal) othersRefused += 1
        if (suspicion is Suspicion.Fatal || suspicion is Suspicion.Deferred) return resendLater(fingerprint)
        val isSuspect = suspicion is Suspicion.Suspect
        val serversRunningSuspects =
            fleet.filter { server ->
                server.running.any {
                    it.gateway === gateway &&
                        it.isSuspect
                }
            }
        val decision =
            gateway.placement.choose(
                servers = fleet.filter { it.upFromTick <= tick }.map { it.registration },
                excluded = emptySet(),
                now = now,
                tieBreak = random.nextInt(Int.MAX_VALUE),
                isolation =
                    SuspectIsolation(
                        fingerprint.value,
                        serversRunningSuspects.mapTo(HashSet()) { it.name },
                    ).takeIf { isSuspect },
            )
        if (decision !is PlacementDecision.Place) return resendLater(fingerprint)
        val duration = if (fingerprint == fatal) TICKS_TO_CRASH else random.nextInt(20, 36)
        gateway.loads.started(decision.server.name)
        fleet.first { it.name == decision.server.name }.running +=
            Running(fingerprint, gateway, isSuspect, sentTick = tick, finishTick = tick + duration)
    }

    private fun advance(
        server: Server,
        tick: Int,
        now: MonotonicTime,
    ) {
        val due = server.running.filter { it.finishTick <= tick }
        if (due.any { it.fingerprint == fatal }) return crash(server, tick, now)
        due.forEach { run ->
            completed += 1
            run.gateway.loads.recordEnd(server.name)
            run.gateway.ledger.recordCompletion(run.fingerprint, now)
            resendLater(run.fingerprint)
        }
        server.running -= due.toSet()
    }

    private fun crash(
        server: Server,
        tick: Int,
        now: MonotonicTime,
    ) {
        serversLost += 1
        server.running.forEach { run ->
            run.gateway.loads.recordEnd(server.name)
            run.gateway.ledger.recordCrash(ServerCrash(server.name), run.fingerprint, TICK * (tick - run.sentTick), now)
            resendLater(run.fingerprint)
        }
        server.running
            .filter { it.gateway.ledger.crashCount(it.fingerprint) > 1 }
            .forEach { sendReports(it.gateway, now) }
        server.running = emptyList()
        server.starts += 1
        server.upFromTick = tick + RESTART_TICKS
    }

    private fun resendLater(fingerprint: RequestFingerprint) {
        if (fingerprint != fatal) queue += fingerprint
    }

    private fun sendReports(
        sender: Gateway,
        now: MonotonicTime,
    ) = gateways.filter { it !== sender && random.nextDouble() > MESSAGE_LOSS }.forEach {
        it.ledger.merge(sender.ledger.reports(now, limit = 32), now)
    }

    private class Gateway {
        val loads = LoadTable()
        val ledger = CrashLedger<RequestFingerprint>()
        val placement = EvenPlacement(loads, ZoneName("a"))
    }

    private class Server(
        private val index: Int,
    ) {
        var starts = 1
        var upFromTick = 0
        var running = emptyList<Running>()
        val name get() = ServerName("s$index-$starts")
        val registration get() = BackendServer(name, ServiceName("desk"), "10.0.0.$index", 80, ZoneName("a"), slots = 6)
    }

    private class Running(
        val fingerprint: RequestFingerprint,
        val gateway: Gateway,
        val isSuspect: Boolean,
        val sentTick: Int,
        val finishTick: Int,
    )
}
