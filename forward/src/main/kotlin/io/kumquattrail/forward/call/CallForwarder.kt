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
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Forwards callers' requests to backend servers. Must be used on the event loop only. */
class CallForwarder(
    scope: CoroutineScope,
    private val state: GatewayState,
    private val pool: ServerConnectionPool,
    private val access: () -> AccessPolicy,
    private val slotFinder: SlotFinder,
    private val headers: ForwardingHeaders,
    private val metrics: ForwardingMetrics,
    private val startTime: Duration,
    onPause: (ServerName, Duration, MonotonicTime) -> Unit,
    onNewEvidence: () -> Unit,
    private val random: Random = Random.Default,
) : CallerRequestHandler {
    private val translation = RequestTranslation(headers)
    private val pauses =
        StreamPauses(log = state.log, onEvent = state.groups::recordProgress, onPause = onPause, random = random)
    private val streams =
        StreamDelivery(
            groups = state.groups,
            slotFinder = slotFinder,
            pauses = pauses,
            maximumEventBytes = pool.limits.eventBytes,
            onFirstByte = ::onAnswerBegun,
            isCutOff = ::isCutOff,
        )

    private val promptParts = PromptPartGuard(state)
    private val fatalRequests = FatalRequestGuard(scope, state, pool, metrics, promptParts, onNewEvidence)
    private val suspects = SuspectAdmission(fatalRequests, promptParts)
    private val refusals = CallRefusals(state, headers, metrics, random)

    /** Requests that are being forwarded, with the coroutines that handle them. */
    private val inProgress = HashMap<Call, Job>()

    override suspend fun handle(exchange: CallerExchange) {
        val request = exchange.request
        val requestId = request.headers.get(headers.requestId)
        if (state.refusesNewRequests) return refusals.refuse(exchange, requestId, 503, "stopping", STOPPING_BACKOFF)
        val configuration =
            configurationAfterStart()
                ?: return refusals.refuse(exchange, requestId, 503, "no_configuration", STARTING_BACKOFF)
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
                refusals.refuse(exchange, requestId, 404, "no_route", null)
            }

            AccessDecision.UnknownKey -> {
                refusals.refuse(exchange, requestId, 401, "unknown_key", null)
            }

            is AccessDecision.KeysOutdated -> {
                refusals.refuse(
                    exchange,
                    requestId,
                    503,
                    "keys_outdated",
                    OUTDATED_BACKOFF,
                    "age_ms" to decision.age.inWholeMilliseconds,
                )
            }

            is AccessDecision.Allowed -> {
                forward(exchange, requestId, decision, configuration)
            }
        }
    }

    /** Ends the requests in progress because the process is about to exit. */
    fun endInProgress() {
        inProgress.toMap().forEach { (call, job) ->
            refusals.endAtStop(call)
            // The coroutine must not send a request that was refused.
            job.cancel()
        }
    }

    /**
     * Returns the configuration in effect, or `null` while the process may not serve.
     *
     * When all gateways restart at once, callers connect to the first ones that listen. Such a gateway has all that it
     * needs a few milliseconds later, so early requests wait for that; a refused caller would return only after half a
     * second.
     */
    private suspend fun configurationAfterStart(): RoutingConfiguration? {
        while (!state.hasStarted && ProcessClock.monotonic() - state.startedAt < startTime) delay(START_POLL_INTERVAL)
        // The configuration service may have been restored from an older copy that still lists revoked keys; peers have
        // newer data.
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
        if (configuration.services[service]?.engine?.fitsInMemory(promptTokens) == false) {
            // No Retry-After, as the prompt will not fit later either. A 4xx status would blame the caller.
            return refusals.refuse(
                exchange,
                requestId,
                503,
                "larger_than_memory",
                null,
                "prompt_tokens" to promptTokens,
            )
        }
        val callerTimeout =
            exchange.request.headers
                .get(headers.remainingTime)
                ?.toLongOrNull()
                ?.milliseconds
        val deadline = exchange.arrived + minOf(route.timeout, callerTimeout ?: route.timeout)
        val call =
            Call(
                exchange = exchange,
                requestId = requestId,
                route = route,
                configurationVersion = configuration.version,
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
                readPromptParts = { translation.sharedPromptParts(exchange.request) },
            )
        promptParts.onStart(call)
        inProgress[call] = currentCoroutineContext().job
        val finished =
            try {
                withTimeoutOrNull(deadline - ProcessClock.monotonic()) {
                    runAttempts(call)
                    true
                }
            } finally {
                promptParts.onEnd(call)
                inProgress.remove(call)
            }
        if (finished == null) refusals.endAtDeadline(call)
        metrics.waitingTime.labelValues(route.kind.name).observe(call.waited.inWholeMilliseconds / 1_000.0)
    }

    private suspend fun runAttempts(call: Call) {
        pauses.delayPrompt(call)
        while (true) {
            suspects.check(call)?.let { return refusals.refuseSuspect(call, it) }
            val wasOnTrial = promptParts.isOnTrial(call)
            val choice = slotFinder.select(call, random)
            when (choice) {
                is SlotChoice.Refused -> return refusals.refuseCall(call, choice)
                is SlotChoice.Selected -> Unit
            }
            // While this request waited, one like it, sent by another gateway, may have crashed a server.
            suspects.check(call)?.let { return refusals.refuseSuspect(call, it) }
            // A trial may need another server than the one selected before.
            if (promptParts.isOnTrial(call) != wasOnTrial) continue
            val outcome = runAttempt(call, choice.server)
            logAttempt(call, choice.server, outcome)
            val trialServerIsGone = promptParts.isOnTrial(call) && outcome.isNotSent
            promptParts.endTrial(call)
            when (outcome) {
                is AttemptOutcome.Finished -> {
                    return fatalRequests.onCompleted(call)
                }

                is AttemptOutcome.Failed -> {
                    if (outcome.faultyServer != null) call.refusedByFailedGroup = true
                    if (outcome.mayHaveCrashedServer) fatalRequests.onConnectionLost(call, choice.server)
                    if (outcome.kind == FailureKind.RAN) fatalRequests.onCompleted(call)
                    if (!mayRetry(call, outcome)) return refusals.fail(call, outcome)
                    if (!call.route.repeatable) metrics.unrepeatableRetries.labelValues(outcome.kind.name).inc()
                    // The server that all gateways use for trials of this part may have crashed in one of them.
                    if (trialServerIsGone) delay(SuspectAdmission.SHORT_DEFERRAL)
                }
            }
        }
    }

    private suspend fun runAttempt(
        call: Call,
        server: BackendServer,
    ): AttemptOutcome {
        val now = ProcessClock.monotonic()
        call.sendCount += 1
        call.lastSentAt = now
        call.triedServers += server.name
        slotFinder.recordSent(server, call, now)
        val attempt = ServerAttempt(server = server, pool = pool, headers = headers)
        call.attempt = attempt
        try {
            val started =
                attempt.start(
                    message = translation.toServer(call, server, now),
                    requestId = call.requestId,
                    maximumIdle = maximumIdle(call),
                    responseTimeout = responseTimeout(call),
                )
            attempt.rateLimitNotice?.let { state.recordRateLimit(server, it) }
            return when (started) {
                is AttemptStart.Responding -> {
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

                AttemptStart.TimedOut -> {
                    AttemptOutcome.broken("no response in time")
                }
            }.let {
                if (it is AttemptOutcome.Failed) {
                    it.copy(mayHaveCrashedServer = attempt.mayHaveCrashedServer, evidence = attempt.evidence)
                } else {
                    it
                }
            }.also { slotFinder.recordOutcome(server, it) }
        } finally {
            call.attempt = null
            attempt.close()
            slotFinder.recordEnd(server, call)
        }
    }

    /** Returns how long the connection for [call] may have been idle; zero for a new connection. */
    private fun maximumIdle(call: Call): Duration =
        when {
            // Without an id, the response could not be told from a copy of an earlier one on the connection.
            call.requestId == null -> Duration.ZERO

            call.route.repeatable -> Duration.INFINITE

            else -> UNREPEATABLE_MAXIMUM_IDLE
        }

    private suspend fun deliver(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
        response: AttemptStart.Responding,
    ): AttemptOutcome =
        when {
            response.status !in SUCCESS -> deliverFailure(call, server, attempt, response)
            call.route.kind == RouteKind.STREAMING -> streams.deliver(call, server, attempt, response)
            else -> deliverComplete(call, server, attempt, response)
        }

    /**
     * Returns whether the end of [server] has cut off its response to [call] in [attempt], which ended with its
     * connection.
     *
     * Nothing in such a response tells its end from that of its server, but a server that has ended no longer listens. One
     * that is leaving may exit as soon as it has responded. Its streams still count as cut off, since they last far longer
     * than the moment of the exit, and so do responses to requests that may run again. The others count as complete.
     */
    private suspend fun isCutOff(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
    ): Boolean {
        if (!attempt.endedWithConnection) return false
        val isLeaving = state.catalogue.usable(server.service).none { it.name == server.name }
        if (isLeaving && call.route.kind != RouteKind.STREAMING && !call.mayRunAgain) return false
        return !fatalRequests.isListening(server)
    }

    private suspend fun deliverComplete(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
        response: AttemptStart.Responding,
    ): AttemptOutcome {
        var reason = ""
        val body = attempt.readBody { reason = it } ?: return AttemptOutcome.broken(reason)
        if (isCutOff(call, server, attempt)) return AttemptOutcome.broken(CUT_OFF_REASON)
        call.exchange.respond(HttpReply(response.status, response.headers.endToEnd(), body))
        onAnswerBegun(call)
        return AttemptOutcome.Finished(response.status)
    }

    /** Passes a server's own failure response on unchanged, unless the request may run on another server. */
    private suspend fun deliverFailure(
        call: Call,
        server: BackendServer,
        attempt: ServerAttempt,
        response: AttemptStart.Responding,
    ): AttemptOutcome {
        val body = attempt.readBody {} ?: return AttemptOutcome.broken("broken failure ${response.status}")
        if (isCutOff(call, server, attempt)) return AttemptOutcome.broken(CUT_OFF_REASON)
        val reply = HttpReply(response.status, response.headers.endToEnd(), body)
        // To callers these statuses mean that the request has not run, which this server has not confirmed.
        val isUnconfirmedRefusal = response.status in NOT_RUN_STATUSES
        if (isUnconfirmedRefusal) return AttemptOutcome.broken("status ${response.status} without proof")
        if (response.status < FIRST_SERVER_ERROR) {
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
            call.runCount += 1
            if (!mayRunAgain) return false
        }
        if (call.sendCount >= call.route.maximumAttempts + EXTRA_SENDS) return false
        // A request that was never sent does not arrive at a server a second time, so it needs no retry budget.
        return failure.kind == FailureKind.NOT_SENT || failure.retryGranted ||
            slotFinder.takeRetry(call.service, ProcessClock.monotonic())
    }

    private fun logAttempt(
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
            "configuration" to call.configurationVersion,
            "server" to server.name,
            "attempt" to call.sendCount,
            "waited_ms" to call.waited.inWholeMilliseconds,
            "total_ms" to (ProcessClock.monotonic() - call.exchange.arrived).inWholeMilliseconds,
            "events" to call.cursor.delivered.takeIf { it > 0 },
            "longest_pause_ms" to call.longestPause.inWholeMilliseconds.takeIf { it > 0 },
            "pause_ended_ms" to call.longestPauseEnd?.inWholeMilliseconds,
            "status" to status,
            "failure" to failed?.kind,
            "reason" to failed?.reason,
            // Links the attempts of one request that its caller sends again under another id.
            "fingerprint" to failed?.takeIf { !it.kind.provesNotRun }?.let { call.fingerprint },
            "faulty_server" to failed?.faultyServer,
            "connection" to failed?.evidence?.localPort,
            "connection_request" to failed?.evidence?.requestNumber,
            "response_after_ms" to failed?.evidence?.timeToResponse?.inWholeMilliseconds,
            "names_request" to failed?.evidence?.namesRequest,
        )
    }

    private fun onAnswerBegun(call: Call) {
        call.hasAnswerBegun = true
        promptParts.onAnswerBegun(call)
        val seconds = (ProcessClock.monotonic() - call.exchange.arrived).inWholeMilliseconds / 1_000.0
        metrics.firstByteTime.labelValues(call.route.kind.name).observe(seconds)
    }

    private fun chooseService(route: Route): ServiceName {
        var remainingWeight = random.nextDouble() * route.targets.sumOf { it.weight }
        return route.targets
            .firstOrNull { target ->
                remainingWeight -= target.weight
                remainingWeight < 0
            }?.service ?: route.targets.last().service
    }

    // Without another attempt, the request waits for a response until its deadline, and its caller then receives a 504.
    private fun responseTimeout(call: Call): Duration =
        if (call.mayRunAgain) {
            call.route.latencyTarget * RESPONSE_TIMEOUT_IN_LATENCY_TARGETS + RESPONSE_TIMEOUT_ALLOWANCE
        } else {
            Duration.INFINITE
        }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

        /**
         * Number of times that a request may be sent beyond the route's attempts, for servers that prove that they did
         * not run it.
         */
        const val EXTRA_SENDS = 2

        /**
         * After a longer idle time, the server may close a kept connection while an unrepeatable request is on its way.
         */
        val UNREPEATABLE_MAXIMUM_IDLE = 1.seconds

        /**
         * Time to the head of a response, in latency targets, after which a repeatable request goes to another server.
         * Together with [RESPONSE_TIMEOUT_ALLOWANCE], it is well over the time of any response that meets its target.
         */
        const val RESPONSE_TIMEOUT_IN_LATENCY_TARGETS = 3
        val RESPONSE_TIMEOUT_ALLOWANCE = 500.milliseconds

        /** Retry-After while the process stops; short, as new connections already go to other processes. */
        val STOPPING_BACKOFF = 50.milliseconds

        /**
         * Interval at which an early request checks whether the start is complete; short against its latency target.
         */
        val START_POLL_INTERVAL = 5.milliseconds

        /** Retry-After when neither the configuration service nor any peer has responded. */
        val STARTING_BACKOFF = 500.milliseconds

        /**
         * Retry-After while the keys are outdated. Another process, which a new connection may reach, may have newer
         * keys from the configuration service.
         */
        val OUTDATED_BACKOFF = 300.milliseconds
    }
}
