package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 25.milliseconds
private const val TICKS = 1_200
private const val FATAL_TICKS = 4
private const val EXCHANGE_TICKS = 16
private const val RESTART_TICKS = 80
private const val TICKS_TO_ANSWER = 8
private const val TICKS_TO_END = 30
private const val MESSAGE_LOSS = 0.1
private const val GATEWAY_RESTART_TICKS = 200
private const val OTHER_CRASH_TICKS = 160
private const val DIVIDED_TICKS = 400

private fun part(id: String) = checkNotNull(PromptPart.of(id))

/**
 * @property crashesByPart servers lost to each fatal part.
 * @property longestWrongRefusal longest time from the refusal of a request without a fatal part, because of a part that
 *   was taken for fatal, to the next answer on that part.
 */
internal data class PromptPartResult(
    val crashesByPart: Map<PromptPart, Int>,
    val longestWrongRefusal: Duration,
    val completed: Int,
)

/**
 * Simulates 30 s of gateways in front of servers, in ticks of 25 ms. Requests with one of two fatal parts arrive at all
 * gateways, among harmless ones that share parts with them. Gateways restart without memory and ask the others before
 * they serve, messages are lost, and servers also crash for other reasons.
 *
 * @param isDivided whether the gateways are divided into two halves without contact in the first 10 s.
 */
internal class PromptPartSimulation(
    seed: Long,
    private val isDivided: Boolean = false,
    servers: Int = 12,
    gateways: Int = 4,
) {
    private val random = Random(seed)
    private val fleet = List(servers) { Server(it) }
    private val gateways = MutableList(gateways) { Gateway() }
    private val shared = part("5a")
    private val harmless = List(6) { part("b$it") }
    private val fatal = listOf(part("dead1"), part("dead2"))
    private val crashesByPart = fatal.associateWithTo(HashMap()) { 0 }
    private val wronglyRefusedSince = HashMap<PromptPart, Int>()
    private var longestWrongRefusalTicks = 0
    private var completed = 0
    private var tick = 0
    private val now get() = MonotonicTime.ZERO + TICK * tick

    fun run(): PromptPartResult {
        while (tick < TICKS) {
            send(listOf(shared, harmless.random(random)))
            send(listOf(harmless.random(random)))
            if (tick % FATAL_TICKS == 0) send(listOf(shared, fatal.random(random)))
            fleet.forEach(::advance)
            if (tick % OTHER_CRASH_TICKS == OTHER_CRASH_TICKS - 1) crash(fleet.random(random), cause = null)
            if (tick % EXCHANGE_TICKS == 0) gateways.forEach { exchange(it, MESSAGE_LOSS) }
            if (tick % GATEWAY_RESTART_TICKS == GATEWAY_RESTART_TICKS - 1) restart(random.nextInt(gateways.size))
            tick += 1
        }
        return PromptPartResult(crashesByPart, TICK * longestWrongRefusalTicks, completed)
    }

    private fun send(parts: List<PromptPart>) {
        val request = Request(parts, gateways.random(random), tick)
        val decision = request.gateway.trials.decide(request, parts, now)
        if (decision is PromptPartDecision.Refuse && parts.none { it in fatal }) {
            parts.forEach { wronglyRefusedSince.putIfAbsent(it, tick) }
        }
        val candidates = fleet.filter { it.upFromTick <= tick }
        val server =
            when (decision) {
                PromptPartDecision.Run -> candidates.random(random)
                is PromptPartDecision.Try -> RendezvousHash.owner(decision.part.value, candidates) { it.name.value }
                PromptPartDecision.Wait, is PromptPartDecision.Refuse -> null
            }
        if (server == null) request.gateway.trials.end(request) else server.running += request
    }

    private fun advance(server: Server) {
        server.running.filter { tick - it.sentTick == TICKS_TO_ANSWER }.forEach { request ->
            val cause = request.parts.firstOrNull { it in fatal }
            if (cause != null) return crash(server, cause)
            request.hasAnswer = true
            request.gateway.trials.end(request)
            request.parts.forEach { part ->
                request.gateway.ledger.recordCompletion(part, now)
                val ticks = wronglyRefusedSince.remove(part)?.let { tick - it } ?: 0
                longestWrongRefusalTicks = maxOf(longestWrongRefusalTicks, ticks)
            }
        }
        val finished = server.running.filter { tick - it.sentTick >= TICKS_TO_END }
        completed += finished.size
        server.running -= finished.toSet()
    }

    private fun crash(
        server: Server,
        cause: PromptPart?,
    ) {
        if (server.upFromTick > tick) return
        if (cause != null) crashesByPart.merge(cause, 1, Int::plus)
        val interrupted = server.running
        val crash = ServerCrash(server.name)
        server.running = emptyList()
        server.starts += 1
        server.upFromTick = tick + RESTART_TICKS
        interrupted.filterNot { it.hasAnswer }.forEach { request ->
            val gateway = request.gateway
            val answered = answersOf(gateway).flatMapTo(HashSet()) { it.parts }
            gateway.trials.candidates(request.parts, answered, crash).forEach { part ->
                gateway.ledger.recordCrash(crash, part, TICK * (tick - request.sentTick), now)
            }
            gateway.trials.end(request)
        }
        interrupted.map { it.gateway }.distinct().forEach {
            withdrawFatal(it)
            exchange(it, loss = 0.0)
        }
    }

    private fun answersOf(gateway: Gateway) =
        fleet.flatMap { it.running }.filter { it.gateway === gateway && it.hasAnswer }

    private fun withdrawFatal(gateway: Gateway) =
        fleet.forEach { server ->
            server.running =
                server.running.filterNot {
                    it.gateway === gateway && !it.hasAnswer && gateway.trials.shouldWithdraw(it.parts, now)
                }
        }

    private fun exchange(
        gateway: Gateway,
        loss: Double,
    ) = gateways.filter { it !== gateway && canReach(gateway, it) && random.nextDouble() >= loss }.forEach { peer ->
        deliver(gateway, peer)
        deliver(peer, gateway)
    }

    private fun deliver(
        sender: Gateway,
        receiver: Gateway,
    ) {
        receiver.ledger.merge(sender.ledger.reports(now, limit = 32), now)
        answersOf(receiver).forEach { answer ->
            answer.parts.forEach { receiver.ledger.recordCompletion(it, now) }
        }
        withdrawFatal(receiver)
    }

    private fun canReach(
        first: Gateway,
        second: Gateway,
    ) = !isDivided || tick >= DIVIDED_TICKS || gateways.indexOf(first) % 2 == gateways.indexOf(second) % 2

    private fun restart(index: Int) {
        val stopped = gateways[index]
        fleet.forEach { server -> server.running = server.running.filterNot { it.gateway === stopped } }
        gateways[index] = Gateway()
        exchange(gateways[index], loss = 0.0)
    }

    private inner class Gateway {
        val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
        val trials = PromptPartTrials<Request>(ledger)
    }

    private class Request(
        val parts: List<PromptPart>,
        val gateway: Gateway,
        val sentTick: Int,
    ) {
        var hasAnswer = false
    }

    private inner class Server(
        private val index: Int,
    ) {
        var starts = 1
        var upFromTick = 0
        var running = emptyList<Request>()
        val name get() = ServerName("s$index-$starts")
    }
}
