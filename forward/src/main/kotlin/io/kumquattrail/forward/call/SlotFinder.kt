package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.limit.RetryBudget
import io.kumquattrail.decision.placement.ColdRateLimit
import io.kumquattrail.decision.placement.EvenPlacement
import io.kumquattrail.decision.placement.PlacementDecision
import io.kumquattrail.decision.placement.QueuedRequest
import io.kumquattrail.decision.placement.QueueingDecision
import io.kumquattrail.decision.placement.RequestQueue
import io.kumquattrail.decision.placement.SuspectIsolation
import io.kumquattrail.decision.ratelimit.ServerIncarnation
import io.kumquattrail.decision.suspect.Suspicion
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The result of looking for a free slot on a server. */
sealed interface SlotChoice {
    /** The call may be sent to [server]. */
    data class Selected(
        val server: BackendServer,
    ) : SlotChoice

    /**
     * The call is refused.
     *
     * @property queueLength number of calls that wait for the service.
     */
    data class Refused(
        val reason: String,
        val retryAfter: Duration,
        val queueLength: Int,
        val expectedWait: Duration? = null,
    ) : SlotChoice
}

/**
 * Limits on the total of all gateway processes.
 *
 * @property retryRatio retries per request for a service.
 * @property retryExtra retries at a service in [retryWindow] that are allowed in addition to those by [retryRatio].
 * @property retryWindow time over which retries are counted.
 * @property coldFactor factor on the requests per second that a cold server supports according to the configuration.
 * @property coldSlack requests per second at a cold server that are allowed in addition to that product.
 */
data class SharedLimits(
    val retryRatio: Double,
    val retryExtra: Double,
    val retryWindow: Duration,
    val coldFactor: Double,
    val coldSlack: Double,
)

// Largest jitter, as a fraction of the Retry-After.
private const val RETRY_JITTER = 0.2

/** Adds jitter to a Retry-After; callers that retry together would all arrive in the same pass of a group. */
internal fun Duration.withJitter(random: Random): Duration = this * (1 + RETRY_JITTER * random.nextDouble())

/**
 * Selects servers with free capacity for calls and queues the calls that wait for one. Must be used on the event loop
 * only.
 */
class SlotFinder(
    private val state: GatewayState,
    private val limits: () -> SharedLimits,
) {
    private val placement = EvenPlacement(loads = state.loads, ownZone = state.zone, groups = state.groups)
    private val coldRate = ColdRateLimit(state.allowance)
    private val queues = HashMap<ServiceName, ServiceQueue>()

    /** Suspect requests that this process has in progress, each with the server that runs it. */
    private val serversOfSuspects = HashMap<Call, ServerName>()

    init {
        state.onChange = ::serveQueues
    }

    /**
     * Returns a server for [call], after waiting in the queue if a slot is expected in time, or the reason of a
     * refusal.
     */
    suspend fun select(
        call: Call,
        random: Random,
    ): SlotChoice {
        val now = ProcessClock.monotonic()
        val queue = queueOf(call.service)
        if (!call.isCountedAsFresh) {
            call.isCountedAsFresh = true
            queue.budget.recordFresh(now)
        }
        val tieBreak = random.nextInt(Int.MAX_VALUE)
        // A caller that has received a part of its stream loses all of it if the stream is not completed. A resumed
        // stream therefore goes ahead of the queue, and waits even while the groups refuse requests.
        val isResumed = call.exchange.isStarted
        if (queue.requests.size == 0 || isResumed) {
            when (val decision = choose(call, now, tieBreak)) {
                is PlacementDecision.Place -> return SlotChoice.Selected(decision.server)
                is PlacementDecision.GroupsRefuse -> if (!isResumed) return refusedByGroups(decision, random)
                PlacementDecision.NoServer -> return SlotChoice.Refused("no_server", NO_SERVER_BACKOFF, queueLength = 0)
                PlacementDecision.AllFull -> Unit
            }
        }
        val startDeadline = if (isResumed) now + RESUME_TIMEOUT else call.exchange.arrived + maximumQueueTime(call)
        val latestStart = minOf(startDeadline, call.deadline)
        val limitedFor = timeUntilWithinLimits(call, now)
        if (limitedFor != null && now + minOf(limitedFor, MAXIMUM_LIMITED_TIME) > latestStart) {
            return SlotChoice.Refused(
                reason = "servers_limited",
                retryAfter = minOf(limitedFor, LIMITED_BACKOFF).withJitter(random),
                queueLength = queue.requests.size,
                expectedWait = limitedFor.takeIf { it.isFinite() },
            )
        }
        if (isResumed) return wait(queue, call, RESUMED_PRIORITY, latestStart, now, tieBreak)
        return when (val decision = queue.requests.decide(call.priority, latestStart, now, random.nextDouble())) {
            is QueueingDecision.Refuse -> {
                SlotChoice.Refused("overloaded", decision.retryAfter, queue.requests.size, decision.expectedWait)
            }

            QueueingDecision.Wait -> {
                wait(queue, call, call.priority, latestStart, now, tieBreak)
            }
        }
    }

    private fun maximumQueueTime(call: Call): Duration = call.route.latencyTarget * QUEUE_TIME_FRACTION

    private fun refusedByGroups(
        decision: PlacementDecision.GroupsRefuse,
        random: Random,
    ): SlotChoice =
        SlotChoice.Refused(
            reason = "groups_refuse",
            retryAfter = decision.estimatedRecovery.withJitter(random),
            queueLength = 0,
        )

    /** Records that [call] is sent to [server]. */
    fun recordSent(
        server: BackendServer,
        call: Call,
        now: MonotonicTime,
    ) {
        if (isolationKey(call, now) != null) serversOfSuspects[call] = server.name
        state.loads.started(server.name)
        state.groups.recordSend(server.name, now)
        coldRate.recordSend(server.name, now)
        state.rateLimiter.recordSend(server.name)
    }

    /** Records the [outcome] of an attempt at [server]. */
    fun recordOutcome(
        server: BackendServer,
        outcome: AttemptOutcome,
    ) {
        val now = ProcessClock.monotonic()
        val health = state.loads.health(server.name)
        when (outcome) {
            is AttemptOutcome.Finished -> {
                health.recordSuccess(now)
                state.groups.recordProgress(server.name, now)
            }

            is AttemptOutcome.Failed -> {
                when (outcome.kind) {
                    FailureKind.NOT_SENT, FailureKind.OTHER_SERVER -> health.recordUnreachable(now)
                    FailureKind.NOT_RUN -> recordRefusal(server, outcome, now)
                    FailureKind.RAN, FailureKind.MAY_HAVE_RUN -> health.recordFailure(now)
                }
            }
        }
    }

    private fun recordRefusal(
        server: BackendServer,
        outcome: AttemptOutcome.Failed,
        now: MonotonicTime,
    ) {
        state.loads.markFull(server.name, FULL_DURATION, now)
        if (outcome.faultyServer != null) state.groups.recordRefusal(server.name, now)
    }

    /** Records that the attempt of [call] at [server] has ended, and serves the queue of its service. */
    fun recordEnd(
        server: BackendServer,
        call: Call,
    ) {
        state.loads.recordEnd(server.name)
        serversOfSuspects.remove(call)
        val queue = queueOf(call.service)
        queue.requests.slotFreed(ProcessClock.monotonic())
        serveQueue(queue)
    }

    /** Takes a retry at [service] from the retry budget; returns whether the budget allows it. */
    fun takeRetry(
        service: ServiceName,
        now: MonotonicTime,
    ): Boolean =
        queueOf(service).budget.tryRetry(
            now = now,
            // Calculated at each call: parts fixed at the first request would together exceed the total once other
            // processes appear.
            leastRetries = state.allowance.partOf(limits().retryExtra).toInt(),
            retryShare = limits().retryRatio * RETRY_RATIO_FRACTION,
        )

    /** Serves the queues of all services, after a change of the state that may have freed capacity. */
    fun serveQueues() = queues.values.toList().forEach(::serveQueue)

    private suspend fun wait(
        queue: ServiceQueue,
        call: Call,
        priority: Int,
        latestStart: MonotonicTime,
        now: MonotonicTime,
        tieBreak: Int,
    ): SlotChoice {
        val request = QueuedRequest(priority = priority, enteredAt = now, latestStart = latestStart)
        val waiter = Waiter(call = call, tieBreak = tieBreak)
        queue.requests.enter(request)
        queue.waiters[request] = waiter
        try {
            while (true) {
                if (waiter.result.isCompleted) return waiter.result.await()
                val left = latestStart - ProcessClock.monotonic()
                if (!left.isPositive()) return SlotChoice.Refused("waited_in_vain", WAITED_BACKOFF, queue.requests.size)
                withTimeoutOrNull(minOf(left, RECHECK_INTERVAL)) { waiter.result.await() }?.let { return it }
                // Rate limits and refusals by servers expire with time, without an event that would serve the queue.
                serveQueue(queue)
            }
        } finally {
            queue.requests.leave(request)
            queue.waiters.remove(request)
            call.waited += ProcessClock.monotonic() - now
        }
    }

    private fun serveQueue(queue: ServiceQueue) {
        if (queue.requests.size == 0) return
        val now = ProcessClock.monotonic()
        queue.requests.inOrder().forEach { request ->
            val waiter = queue.waiters[request] ?: return@forEach
            when (val decision = choose(waiter.call, now, waiter.tieBreak)) {
                is PlacementDecision.Place -> {
                    queue.requests.leave(request)
                    queue.waiters.remove(request)
                    waiter.result.complete(SlotChoice.Selected(decision.server))
                    // The call starts in a later turn of the event loop and is counted only then, so one call is placed
                    // at a time.
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
            excluded = call.triedServers,
            now = now,
            tieBreak = tieBreak,
            isWithinRateLimit = { server ->
                (total == null || coldRate.mayStart(server.name, total, now)) &&
                    !timeToNext(server, now).isPositive()
            },
            isolation =
                isolationKey(
                    call,
                    now,
                )?.let { SuspectIsolation(key = it, occupied = serversOfSuspects.values.toSet()) },
        )
    }

    /** Returns the time after which the request rate limit of [server] allows a request of this process. */
    private fun timeToNext(
        server: BackendServer,
        now: MonotonicTime,
    ): Duration {
        val limit =
            if (state.rateLimits.hasLimits) state.rateLimits.limitOf(ServerIncarnation(server)) else null
        return if (limit == null) Duration.ZERO else state.rateLimiter.timeToNext(server.name, limit, now)
    }

    /**
     * Returns the time after which the request rate limits of the servers that may have [call] allow one more request, or
     * `null` when a server without a limit may have it.
     */
    private fun timeUntilWithinLimits(
        call: Call,
        now: MonotonicTime,
    ): Duration? {
        if (!state.rateLimits.hasLimits) return null
        val candidates = state.catalogue.usable(call.service).filter { it.name !in call.triedServers }
        return candidates.minOfOrNull { timeToNext(it, now) }?.takeIf { it.isPositive() }
    }

    /** Returns what [call] is suspected for, its prompt part or the whole request; `null` if it is not suspected. */
    private fun isolationKey(
        call: Call,
        now: MonotonicTime,
    ): String? {
        val parts = state.suspectPromptParts
        val part =
            if (parts.hasSuspects) parts.suspectsAmong(call.sharedPromptParts, now).firstOrNull() else null
        if (part != null) return part.value
        return call.fingerprint.value.takeIf { state.fatalRequests.judge(call, now) is Suspicion.Suspect }
    }

    private fun queueOf(service: ServiceName): ServiceQueue =
        queues.getOrPut(service) {
            ServiceQueue(budget = RetryBudget(window = limits().retryWindow))
        }

    private class ServiceQueue(
        val budget: RetryBudget,
    ) {
        val requests = RequestQueue()
        val waiters = HashMap<QueuedRequest, Waiter>()
    }

    private class Waiter(
        val call: Call,
        val tieBreak: Int,
        val result: CompletableDeferred<SlotChoice> = CompletableDeferred(),
    )

    private companion object {
        /**
         * Fraction of the latency target that a request may spend in the queue; the remainder is for reading its
         * prompt.
         */
        const val QUEUE_TIME_FRACTION = 0.6

        /**
         * Time for which an interrupted stream waits for a slot; callers disconnect after two seconds without an event.
         */
        val RESUME_TIMEOUT = 1_200.milliseconds

        /** Priority of an interrupted stream, ahead of all other requests. */
        const val RESUMED_PRIORITY = -1

        /**
         * Fraction of the retry ratio that is used. The windows of the processes and of the platform cover different
         * periods; the margin keeps the retries within the ratio in the platform's windows too.
         */
        const val RETRY_RATIO_FRACTION = 0.8

        /** Time for which a server that refused a request counts as full; about the duration of one short request. */
        val FULL_DURATION = 40.milliseconds

        /**
         * Interval at which queued calls are tried again without an event; short against a latency target of 100 ms.
         */
        val RECHECK_INTERVAL = 25.milliseconds

        /** Retry-After without any server; servers register again, or return from an evacuation, within seconds. */
        val NO_SERVER_BACKOFF = 1_000.milliseconds

        /** Keeps the sum with the current time finite while other gateways are the senders of all servers. */
        val MAXIMUM_LIMITED_TIME = 1.hours

        /** Longest Retry-After while all servers are limited; a gateway with another part of the rate may be free earlier. */
        val LIMITED_BACKOFF = 1.seconds

        /** Retry-After for a request that found no free slot in time. */
        val WAITED_BACKOFF = 500.milliseconds
    }
}
