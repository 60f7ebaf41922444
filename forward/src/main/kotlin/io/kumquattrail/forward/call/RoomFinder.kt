package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.limit.RetryBudget
import io.kumquattrail.decision.placement.ApartRun
import io.kumquattrail.decision.placement.ColdRateLimit
import io.kumquattrail.decision.placement.EvenPlacement
import io.kumquattrail.decision.placement.PlacementDecision
import io.kumquattrail.decision.placement.WaitingDecision
import io.kumquattrail.decision.placement.WaitingLine
import io.kumquattrail.decision.placement.WaitingRequest
import io.kumquattrail.decision.suspect.Suspicion
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Says where a call has found room. */
sealed interface Room {
    /** The call may be sent to [server]. */
    data class At(
        val server: BackendServer,
    ) : Room

    /** The call is given up. */
    data class Refused(
        val reason: String,
        val retryAfter: Duration,
        val waiting: Int,
        val expectedWait: Duration? = null,
    ) : Room
}

/**
 * Limits that hold over all processes together.
 *
 * @property retryRatio repeated arrivals at a service per request for it.
 * @property retryExtra repeated arrivals at a service in [retryWindow] beyond that.
 * @property coldFactor factor on the published rate of a cold server.
 * @property coldSlack requests a second beyond that.
 */
data class SharedLimits(
    val retryRatio: Double,
    val retryExtra: Double,
    val retryWindow: Duration,
    val coldFactor: Double,
    val coldSlack: Double,
)

// Share of the time to return over which callers are spread.
private const val RETURN_SPREAD = 0.2

/** Spreads times to return, as callers that return together would meet in one pass of a group. */
internal fun Duration.spread(random: Random): Duration = this * (1 + RETURN_SPREAD * random.nextDouble())

/** Finds room at servers for calls and keeps the calls that wait for it. It is used on the event loop only. */
class RoomFinder(
    private val state: GatewayState,
    private val limits: () -> SharedLimits,
) {
    private val placement = EvenPlacement(loads = state.loads, ownZone = state.zone, groups = state.groups)
    private val coldRate = ColdRateLimit(state.allowance)
    private val lines = HashMap<ServiceName, ServiceLine>()

    /** Servers that run requests of this process that were in progress as a server ended. */
    private val suspectRuns = HashMap<Call, ServerName>()

    init {
        state.onChange = ::serveAll
    }

    /** Returns a server for [call], after waiting where that makes sense, or why there is none. */
    suspend fun find(
        call: Call,
        random: Random,
    ): Room {
        val now = ProcessClock.monotonic()
        val line = line(call.service)
        if (call.sendings == 0) line.budget.recordFresh(now)
        val tieBreak = random.nextInt(Int.MAX_VALUE)
        // A caller that has a part of its stream loses all of it if the rest does not come.
        val isResumed = call.exchange.isStarted
        if (line.waiting.size == 0 || isResumed) {
            when (val decision = choose(call, now, tieBreak)) {
                is PlacementDecision.Place -> return Room.At(decision.server)
                is PlacementDecision.GroupsRefuse -> if (!isResumed) return refused(decision, random)
                PlacementDecision.NoServer -> return Room.Refused("no_server", NO_SERVER_RETRY, waiting = 0)
                PlacementDecision.AllFull -> Unit
            }
        }
        val startWithin = if (isResumed) now + RESUME_WITHIN else call.exchange.arrived + onTimeStart(call)
        val latestStart = minOf(startWithin, call.deadline)
        if (isResumed) return wait(line, call, RESUMED_PRIORITY, latestStart, now, tieBreak)
        return when (val decision = line.waiting.decide(call.priority, latestStart, now, random.nextDouble())) {
            is WaitingDecision.Refuse -> {
                Room.Refused("overloaded", decision.retryAfter, line.waiting.size, decision.expectedWait)
            }

            WaitingDecision.Wait -> {
                wait(line, call, call.priority, latestStart, now, tieBreak)
            }
        }
    }

    private fun onTimeStart(call: Call): Duration = call.route.latencyTarget * START_SHARE

    private fun refused(
        decision: PlacementDecision.GroupsRefuse,
        random: Random,
    ): Room =
        Room.Refused(
            reason = "groups_refuse",
            retryAfter = decision.returnsIn.spread(random),
            waiting = 0,
        )

    /** Records that [call] is sent to [server]. */
    fun sending(
        server: BackendServer,
        call: Call,
        now: MonotonicTime,
    ) {
        if (isSuspect(call, now)) suspectRuns[call] = server.name
        state.loads.started(server.name)
        state.groups.sent(server.name, now)
        coldRate.sent(server.name, now)
    }

    /** Takes in how an attempt at [server] ended. */
    fun observed(
        server: BackendServer,
        outcome: AttemptOutcome,
    ) {
        val now = ProcessClock.monotonic()
        val health = state.loads.health(server.name)
        when (outcome) {
            is AttemptOutcome.Finished -> {
                health.succeeded(now)
                state.groups.progressed(server.name, now)
            }

            is AttemptOutcome.Failed -> {
                when (outcome.kind) {
                    FailureKind.NOT_SENT, FailureKind.OTHER_SERVER -> health.unreachable(now)
                    FailureKind.NOT_RUN -> refused(server, outcome, now)
                    FailureKind.RAN, FailureKind.MAY_HAVE_RUN -> health.failed(now)
                }
            }
        }
    }

    private fun refused(
        server: BackendServer,
        outcome: AttemptOutcome.Failed,
        now: MonotonicTime,
    ) {
        state.loads.reportedFull(server.name, FULL_FOR, now)
        if (outcome.faultyServer != null) state.groups.refused(server.name, now)
    }

    /** Records that an attempt at [server] has ended and serves calls that wait. */
    fun ended(
        server: BackendServer,
        call: Call,
    ) {
        state.loads.ended(server.name)
        suspectRuns.remove(call)
        val line = line(call.service)
        line.waiting.roomLeft(ProcessClock.monotonic())
        serve(line)
    }

    /** Tells whether a call of [service] may be sent once more within the retry budget, and counts it if so. */
    fun mayRepeat(
        service: ServiceName,
        now: MonotonicTime,
    ): Boolean =
        line(service).budget.tryRetry(
            now = now,
            // Other processes appear after the service's first request; a part fixed then would exceed the total.
            leastRetries = state.allowance.partOf(limits().retryExtra).toInt(),
            retryShare = limits().retryRatio * BUDGET_MARGIN,
        )

    /** Serves calls that wait for reasons that pass with time. */
    fun serveAll() = lines.values.toList().forEach(::serve)

    private suspend fun wait(
        line: ServiceLine,
        call: Call,
        priority: Int,
        latestStart: MonotonicTime,
        now: MonotonicTime,
        tieBreak: Int,
    ): Room {
        val request = WaitingRequest(priority = priority, enteredAt = now, latestStart = latestStart)
        val waiter = Waiter(call = call, tieBreak = tieBreak)
        line.waiting.enter(request)
        line.waiters[request] = waiter
        try {
            while (true) {
                if (waiter.room.isCompleted) return waiter.room.await()
                val left = latestStart - ProcessClock.monotonic()
                if (!left.isPositive()) return Room.Refused("waited_in_vain", WAITED_RETRY, line.waiting.size)
                withTimeoutOrNull(minOf(left, RECHECK)) { waiter.room.await() }?.let { return it }
                // Rate limits and refusals of servers pass with time, which no event reports.
                serve(line)
            }
        } finally {
            line.waiting.leave(request)
            line.waiters.remove(request)
            call.waited += ProcessClock.monotonic() - now
        }
    }

    private fun serve(line: ServiceLine) {
        if (line.waiting.size == 0) return
        val now = ProcessClock.monotonic()
        line.waiting.inOrder().forEach { request ->
            val waiter = line.waiters[request] ?: return@forEach
            when (val decision = choose(waiter.call, now, waiter.tieBreak)) {
                is PlacementDecision.Place -> {
                    line.waiting.leave(request)
                    line.waiters.remove(request)
                    waiter.room.complete(Room.At(decision.server))
                    // The call starts in a later turn of the event loop; until then its place is taken by one call only.
                    return
                }

                PlacementDecision.AllFull -> {
                    return
                }

                is PlacementDecision.GroupsRefuse, PlacementDecision.NoServer -> {
                    Unit
                }
            }
        }
    }

    private fun choose(
        call: Call,
        now: MonotonicTime,
        tieBreak: Int,
    ): PlacementDecision {
        val service = state.configuration?.services?.get(call.service)
        val coldRequests = service?.coldRequestsPerSecond
        val total = coldRequests?.let { it * limits().coldFactor + limits().coldSlack }
        return placement.choose(
            servers = state.catalogue.usable(call.service),
            excluded = call.tried,
            now = now,
            tieBreak = tieBreak,
            hasRate = { total == null || coldRate.mayStart(it.name, total, now) },
            apart =
                if (isSuspect(call, now)) {
                    ApartRun(key = call.fingerprint.value, occupied = suspectRuns.values.toSet())
                } else {
                    null
                },
        )
    }

    private fun isSuspect(
        call: Call,
        now: MonotonicTime,
    ): Boolean = state.fatalRequests.judge(call, now) is Suspicion.Suspect

    private fun line(service: ServiceName): ServiceLine =
        lines.getOrPut(service) {
            ServiceLine(budget = RetryBudget(window = limits().retryWindow))
        }

    private class ServiceLine(
        val budget: RetryBudget,
    ) {
        val waiting = WaitingLine()
        val waiters = HashMap<WaitingRequest, Waiter>()
    }

    private class Waiter(
        val call: Call,
        val tieBreak: Int,
        val room: CompletableDeferred<Room> = CompletableDeferred(),
    )

    private companion object {
        /** Share of the latency target that a request may spend waiting; the rest is for reading its prompt. */
        const val START_SHARE = 0.6

        /** Time for which a stream that has broken off waits for room; callers leave after two seconds of silence. */
        val RESUME_WITHIN = 1_200.milliseconds

        /** Rank of a stream that has broken off, before all others. */
        const val RESUMED_PRIORITY = -1

        /** Share of the retry ratio that is used, as windows of processes and of the platform differ. */
        const val BUDGET_MARGIN = 0.8

        /** Time for which a server that refused a request counts as full, about the time of one short request. */
        val FULL_FOR = 40.milliseconds

        /** Interval at which waiting calls are tried again without an event; short against a latency target of 100 ms. */
        val RECHECK = 25.milliseconds

        /** Servers register again or return from an evacuation in seconds. */
        val NO_SERVER_RETRY = 1_000.milliseconds

        /** Time after which a request that found no room in its time may try again. */
        val WAITED_RETRY = 500.milliseconds
    }
}
