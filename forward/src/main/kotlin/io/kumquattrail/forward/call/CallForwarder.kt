package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.delivery.EventStreamCursor
import io.kumquattrail.decision.delivery.StreamEvent
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.route.AccessDecision
import io.kumquattrail.decision.route.AccessPolicy
import io.kumquattrail.decision.route.Route
import io.kumquattrail.decision.route.RouteKind
import io.kumquattrail.decision.route.RoutingConfiguration
import io.kumquattrail.decision.suspect.FatalRequestLimits
import io.kumquattrail.decision.suspect.Suspicion
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.CallerExchange
import io.kumquattrail.forward.http.CallerRequestHandler
import io.kumquattrail.forward.http.HttpMessage
import io.kumquattrail.forward.http.HttpReply
import io.kumquattrail.forward.http.ResponsePart
import io.kumquattrail.forward.http.ServerConnectionPool
import io.kumquattrail.forward.http.endToEnd
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Forwards the requests of callers to backend servers. It is used on the event loop only. */
class CallForwarder(
    scope: CoroutineScope,
    private val state: GatewayState,
    private val pool: ServerConnectionPool,
    private val access: () -> AccessPolicy,
    private val rooms: RoomFinder,
    private val headers: ForwardingHeaders,
    private val metrics: ForwardingMetrics,
    private val startTime: Duration,
    onPause: (ServerName, Duration, MonotonicTime) -> Unit,
    onRepeatedEnd: () -> Unit,
    private val random: Random = Random.Default,
) : CallerRequestHandler {
    private val translation = RequestTranslation(headers)
    private val pauses =
        StreamPauses(log = state.log, onEvent = state.groups::progressed, onPause = onPause, random = random)
    private val streams =
        StreamDelivery(
            groups = state.groups,
            rooms = rooms,
            pauses = pauses,
            mostEventBytes = pool.limits.eventBytes,
            onFirstByte = ::firstByte,
        )

    private val fatalRequests = FatalRequestGuard(scope, state, pool, metrics, onRepeatedEnd)

    override suspend fun handle(exchange: CallerExchange) {
        val request = exchange.request
        val requestId = request.headers.get(headers.requestId)
        if (state.refusesNewRequests) return refuse(exchange, requestId, 503, "stopping", STOPPING_RETRY)
        val configuration =
            configurationAfterStart()
                ?: return refuse(exchange, requestId, 503, "no_configuration", STARTING_RETRY)
        val decision =
            access().decide(
                configuration = configuration,
                age = state.confirmedAge(),
                host = request.headers.get("Host").orEmpty(),
                path = request.target,
                key = translation.callerKey(request),
            )
        when (decision) {
            AccessDecision.NoRoute -> {
                refuse(exchange, requestId, 404, "no_route", null)
            }

            AccessDecision.UnknownKey -> {
                refuse(exchange, requestId, 401, "unknown_key", null)
            }

            is AccessDecision.KeysOutdated -> {
                refuse(
                    exchange,
                    requestId,
                    503,
                    "keys_outdated",
                    OUTDATED_RETRY,
                    "age_ms" to decision.age.inWholeMilliseconds,
                )
            }

            is AccessDecision.Allowed -> {
                forward(exchange, requestId, decision, configuration)
            }
        }
    }

    /**
     * Returns the configuration in effect, or `null` while the process may not serve.
     *
     * Load pattern: all gateways end, and callers connect to the first that listen. What a start needs is known a few
     * milliseconds later, so a caller of that time is served then; a refusal would bring it back half a second later.
     */
    private suspend fun configurationAfterStart(): RoutingConfiguration? {
        while (!state.hasStarted && ProcessClock.monotonic() - state.startedAt < startTime) delay(START_POLL)
        // A store may have come back from an older copy, with keys that were withdrawn; peers know better.
        return state.configuration?.takeIf { state.peersAsked }
    }

    private suspend fun forward(
        exchange: CallerExchange,
        requestId: String?,
        allowed: AccessDecision.Allowed,
        configuration: RoutingConfiguration,
    ) {
        val route = allowed.route
        val service = chooseService(route)
        val promptTokens = translation.promptTokens(exchange.request)
        if (configuration.services[service]?.engine?.holds(promptTokens) == false) {
            // No time to return, as it will not fit later either. A status of 4xx would say that the caller is at fault.
            return refuse(exchange, requestId, 503, "larger_than_memory", null, "prompt_tokens" to promptTokens)
        }
        val callerTime =
            exchange.request.headers
                .get(headers.remainingTime)
                ?.toLongOrNull()
                ?.milliseconds
        val deadline = exchange.arrived + minOf(route.timeout, callerTime ?: route.timeout)
        val call =
            Call(
                exchange = exchange,
                requestId = requestId,
                route = route,
                version = configuration.version,
                priority = allowed.organisation?.priority ?: route.priority,
                organisation = allowed.organisation?.name?.value,
                service = service,
                deadline = deadline,
                cursor =
                    EventStreamCursor(
                        exchange.request.headers
                            .get(headers.lastEvent)
                            ?.toLongOrNull(),
                    ),
            )
        val finished =
            withTimeoutOrNull(deadline - ProcessClock.monotonic()) {
                attempts(call)
                true
            }
        if (finished == null) timedOut(call)
        metrics.waiting.labelValues(route.kind.name).observe(call.waited.inWholeMilliseconds / 1_000.0)
    }

    private suspend fun attempts(call: Call) {
        pauses.holdPrompt(call)
        while (true) {
            if (!mayRun(call)) return
            val room = rooms.find(call, random)
            when (room) {
                is Room.Refused -> return giveUp(call, room)
                is Room.At -> Unit
            }
            // A copy elsewhere may have ended another server while this one waited.
            if (!mayRun(call)) return
            val outcome = attempt(call, room.server)
            log(call, room.server, outcome)
            when (outcome) {
                is AttemptOutcome.Finished -> {
                    return fatalRequests.completed(call)
                }

                is AttemptOutcome.Failed -> {
                    if (outcome.faultyServer != null) call.metBrokenGroup = true
                    if (outcome.mayHaveEndedServer) fatalRequests.connectionLost(call, room.server)
                    if (outcome.kind == FailureKind.RAN) fatalRequests.completed(call)
                    if (!mayRetry(call, outcome)) return fail(call, outcome)
                }
            }
        }
    }

    private suspend fun attempt(
        call: Call,
        server: BackendServer,
    ): AttemptOutcome {
        val now = ProcessClock.monotonic()
        call.sendings += 1
        call.sentAt = now
        call.tried += server.name
        rooms.sending(server, call, now)
        val attempt = ServerAttempt(server = server, pool = pool, headers = headers)
        try {
            val started =
                attempt.start(
                    message = translation.toServer(call, server, now),
                    requestId = call.requestId,
                    maximumIdle = if (call.route.repeatable) Duration.INFINITE else UNREPEATABLE_IDLE,
                    patience = patience(call),
                )
            return when (started) {
                is AttemptStart.Answering -> {
                    deliver(call, server, attempt, started)
                }

                is AttemptStart.NotSent -> {
                    AttemptOutcome.Failed(FailureKind.NOT_SENT, started.reason)
                }

                is AttemptStart.NotRun -> {
                    val kind = if (started.otherServer) FailureKind.OTHER_SERVER else FailureKind.NOT_RUN
                    AttemptOutcome.Failed(kind, "status ${started.status}", faultyServer = started.faultyServer)
                }

                is AttemptStart.Unusable -> {
                    AttemptOutcome.broken(started.reason)
                }

                AttemptStart.Silent -> {
                    AttemptOutcome.broken("no response in time")
                }
            }.let { if (it is AttemptOutcome.Failed) it.copy(mayHaveEndedServer = attempt.mayHaveEndedServer) else it }
                .also { rooms.observed(server, it) }
        } finally {
            attempt.close()
            rooms.ended(server, call)
        }
    }

    private suspend fun deliver(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
        response: AttemptStart.Answering,
    ): AttemptOutcome =
        when {
            response.status !in SUCCESS -> deliverFailure(call, attempt, response)
            call.route.kind == RouteKind.STREAMING -> streams.deliver(call, server, attempt, response)
            else -> deliverWhole(call, attempt, response)
        }

    private suspend fun deliverWhole(
        call: Call,
        attempt: ServerAttempt,
        response: AttemptStart.Answering,
    ): AttemptOutcome {
        var reason = ""
        val body = attempt.readBody { reason = it } ?: return AttemptOutcome.broken(reason)
        call.exchange.respond(HttpReply(response.status, response.headers.endToEnd(), body))
        firstByte(call)
        return AttemptOutcome.Finished(response.status)
    }

    /** A server's own failure is passed on as it is, unless the call may run elsewhere. */
    private suspend fun deliverFailure(
        call: Call,
        attempt: ServerAttempt,
        response: AttemptStart.Answering,
    ): AttemptOutcome {
        val body = attempt.readBody {} ?: return AttemptOutcome.broken("broken failure ${response.status}")
        val reply = HttpReply(response.status, response.headers.endToEnd(), body)
        // These statuses promise callers that nothing ran, which this server has not said.
        val isUnproved = response.status in UNPROVED_STATUSES
        if (isUnproved) return AttemptOutcome.broken("status ${response.status} without proof")
        if (response.status < SERVER_ERRORS) {
            if (call.exchange.isStarted) return AttemptOutcome.broken("status ${response.status} to a resumed stream")
            call.exchange.respond(reply)
            return AttemptOutcome.Finished(response.status)
        }
        return AttemptOutcome.Failed(FailureKind.RAN, "status ${response.status}", reply = reply)
    }

    private fun mayRetry(
        call: Call,
        failure: AttemptOutcome.Failed,
    ): Boolean {
        if (!failure.kind.provesNotRun) {
            val mayRunAgain = call.mayRunAgain
            call.runs += 1
            if (!mayRunAgain) return false
        }
        if (call.sendings >= call.route.maximumAttempts + EXTRA_SENDINGS) return false
        // A request that was never sent is no second arrival at a server.
        return failure.kind == FailureKind.NOT_SENT || failure.mayRepeat ||
            rooms.mayRepeat(call.service, ProcessClock.monotonic())
    }

    private fun fail(
        call: Call,
        failure: AttemptOutcome.Failed,
    ) {
        val exchange = call.exchange
        when {
            exchange.isStarted -> exchange.breakOff()
            failure.reply != null -> exchange.respond(failure.reply)
            call.runs == 0 -> refuse(exchange, call.requestId, 503, failure.reason, retryAfter(call, FAILED_RETRY))
            else -> refuse(exchange, call.requestId, 502, failure.reason, null)
        }
    }

    /**
     * Load pattern: a rank of a group fails, and for some seconds every rank refuses all requests. Callers that return
     * at once are refused again and have used their last try, so they are told to return when the group has formed anew.
     */
    private fun retryAfter(
        call: Call,
        usual: Duration,
    ): Duration {
        if (!call.metBrokenGroup) return usual
        val returnsIn = state.groups.returnsIn(call.tried, ProcessClock.monotonic()) ?: GROUP_RETRY
        return returnsIn.spread(random)
    }

    private fun giveUp(
        call: Call,
        refused: Room.Refused,
    ) {
        if (call.exchange.isStarted) return call.exchange.breakOff()
        val status = if (call.runs == 0) 503 else 502
        refuse(
            call.exchange,
            call.requestId,
            status,
            refused.reason,
            retryAfter(call, refused.retryAfter),
            "waiting" to refused.waiting,
            "expected_wait_ms" to refused.expectedWait?.inWholeMilliseconds,
        )
    }

    /** Tells whether [call] may run, after a short wait where that decides it; gives it its final answer if not. */
    private suspend fun mayRun(call: Call): Boolean {
        var suspicion = fatalRequests.judge(call)
        // Other gateways tell what they have seen in a moment, which is better for a caller than to come back.
        while (suspicion is Suspicion.Deferred && suspicion.remaining <= SHORT_DEFERRAL) {
            delay(suspicion.remaining)
            suspicion = fatalRequests.judge(call)
        }
        when (suspicion) {
            Suspicion.None, is Suspicion.Suspect -> return true
            is Suspicion.Deferred -> refuseSuspect(call, "may_end_servers", suspicion.remaining)
            is Suspicion.Fatal -> refuseSuspect(call, "ends_servers", suspicion.remaining)
        }
        return false
    }

    private fun refuseSuspect(
        call: Call,
        reason: String,
        remaining: Duration,
    ) {
        if (call.exchange.isStarted) return call.exchange.breakOff()
        val status = if (call.runs == 0) 503 else 502
        refuse(call.exchange, call.requestId, status, reason, remaining, "fingerprint" to call.fingerprint)
    }

    private fun timedOut(call: Call) {
        if (call.exchange.isComplete) return
        if (call.exchange.isStarted) {
            call.exchange.breakOff()
            state.log.log("request_timed_out", "id" to call.requestId, "started" to true, "runs" to call.sendings)
            return
        }
        // A request that was never sent has not run; any other may have.
        if (call.sendings == 0) {
            refuse(call.exchange, call.requestId, 503, "deadline_before_room", FAILED_RETRY)
        } else {
            refuse(call.exchange, call.requestId, 504, "deadline", null, "attempts" to call.sendings)
        }
    }

    private fun refuse(
        exchange: CallerExchange,
        requestId: String?,
        status: Int,
        reason: String,
        retryAfter: Duration?,
        vararg details: Pair<String, Any?>,
    ) {
        val reply = HttpReply(status)
        if (requestId != null) reply.headers.set(headers.requestId, requestId)
        if (retryAfter != null && status == 503) {
            reply.headers.set(
                "Retry-After",
                "%.3f".format(
                    Locale.ROOT,
                    retryAfter.inWholeMilliseconds / 1_000.0,
                ),
            )
        }
        state.log.log(
            "request_refused",
            "id" to requestId,
            "status" to status,
            "reason" to reason,
            "configuration" to state.configuration?.version,
            "retry_after_ms" to retryAfter?.inWholeMilliseconds,
            "held_ms" to (ProcessClock.monotonic() - exchange.arrived).inWholeMilliseconds,
            *details,
        )
        metrics.requests.labelValues("any", "refused_$status").inc()
        exchange.respond(reply)
    }

    private fun log(
        call: Call,
        server: BackendServer,
        outcome: AttemptOutcome,
    ) {
        val failed = outcome as? AttemptOutcome.Failed
        val status = (outcome as? AttemptOutcome.Finished)?.status
        metrics.attempts.labelValues(failed?.kind?.name ?: "FINISHED").inc()
        if (status != null) metrics.requests.labelValues(call.route.kind.name, "answered_$status").inc()
        state.log.log(
            "request_attempt",
            "id" to call.requestId,
            "route" to call.route.name,
            "configuration" to call.version,
            "server" to server.name,
            "attempt" to call.sendings,
            "waited_ms" to call.waited.inWholeMilliseconds,
            "total_ms" to (ProcessClock.monotonic() - call.exchange.arrived).inWholeMilliseconds,
            "events" to call.cursor.delivered.takeIf { it > 0 },
            "longest_pause_ms" to call.longestPause.inWholeMilliseconds.takeIf { it > 0 },
            "pause_ended_ms" to call.longestPauseEnd?.inWholeMilliseconds,
            "status" to status,
            "failure" to failed?.kind,
            "reason" to failed?.reason,
            // Connects the attempts of one request whose caller sends it again under another id.
            "fingerprint" to failed?.takeIf { !it.kind.provesNotRun }?.let { call.fingerprint },
            "faulty_server" to failed?.faultyServer,
        )
    }

    private fun firstByte(call: Call) {
        val seconds = (ProcessClock.monotonic() - call.exchange.arrived).inWholeMilliseconds / 1_000.0
        metrics.firstByte.labelValues(call.route.kind.name).observe(seconds)
    }

    private fun chooseService(route: Route): ServiceName {
        var rest = random.nextDouble() * route.targets.sumOf { it.weight }
        return route.targets
            .firstOrNull { target ->
                rest -= target.weight
                rest < 0
            }?.service ?: route.targets.last().service
    }

    // Without another attempt, only the deadline ends the wait, and says so to the caller.
    private fun patience(call: Call): Duration =
        if (call.mayRunAgain) {
            call.route.latencyTarget * SILENCE_IN_TARGETS + SILENCE_ALLOWANCE
        } else {
            Duration.INFINITE
        }

    private companion object {
        const val SERVER_ERRORS = 500
        val UNPROVED_STATUSES = setOf(408, 421, 429, 503)

        /** Sendings of a request beyond those that may run it, for servers that prove that they did not run it. */
        const val EXTRA_SENDINGS = 2

        /** A kept connection that was idle longer may be closed by the server while an unrepeatable request travels. */
        val UNREPEATABLE_IDLE = 1.seconds

        /** Silence after which a repeatable request goes to another server: well over the slowest answer in time. */
        const val SILENCE_IN_TARGETS = 3
        val SILENCE_ALLOWANCE = 500.milliseconds

        /** New connections reach other processes at once. */
        val STOPPING_RETRY = 50.milliseconds

        /** Deferral of a suspect that its caller waits for: the time in which gateways tell each other of an end. */
        val SHORT_DEFERRAL = FatalRequestLimits().settling

        /** Interval at which a request of that time looks whether the start is complete; short against its target. */
        val START_POLL = 5.milliseconds

        /** Time to return when neither the store nor peers have answered. */
        val STARTING_RETRY = 500.milliseconds

        /** Another process may be in touch with the configuration service, and new connections reach others. */
        val OUTDATED_RETRY = 300.milliseconds

        /** A failed rank stalls its group for 1.5 s, restarts and joins; callers honour a third of their 8 s. */
        val GROUP_RETRY = 2_200.milliseconds

        /** Time in which a failed server is found and avoided. */
        val FAILED_RETRY = 400.milliseconds
    }
}
