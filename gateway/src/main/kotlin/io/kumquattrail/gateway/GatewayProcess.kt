package io.kumquattrail.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.grpc.StatusException
import io.kumquattrail.decision.configuration.RecordSubscription
import io.kumquattrail.decision.delivery.RetryPolicy
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.limit.RetryBudget
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.gateway.call.AttemptSender
import io.kumquattrail.gateway.call.CallEnd
import io.kumquattrail.gateway.call.CallRunner
import io.kumquattrail.gateway.call.ServerSelection
import io.kumquattrail.gateway.http.CallerServer
import io.kumquattrail.gateway.http.HttpAnswerSink
import io.kumquattrail.gateway.http.ProblemDocument
import io.kumquattrail.gateway.http.RequestHandler
import io.kumquattrail.gateway.http.truthfulFor
import io.kumquattrail.gateway.limit.LocalLimits
import io.kumquattrail.gateway.limit.QuotaExchange
import io.kumquattrail.gateway.request.CallClassifier
import io.kumquattrail.gateway.request.ClassifiedRequest
import io.kumquattrail.gateway.request.IncomingRequest
import io.kumquattrail.gateway.request.RequestFilter
import io.kumquattrail.gateway.request.RequestIdentifier
import io.kumquattrail.gateway.request.RequestParser
import io.kumquattrail.gateway.request.then
import io.kumquattrail.node.NodeRuntime
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.clock.SystemClock
import io.kumquattrail.node.http.Readiness
import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.settings.GatewaySettings
import io.kumquattrail.protocol.v1.IssueKeysRequest
import io.kumquattrail.protocol.v1.WorkServiceGrpcKt
import io.vertx.core.Vertx
import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.RoutingContext
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Runs on an entry VM: takes callers' requests and sends them to the agents beside backend servers.
 *
 * @property random source of request identifiers and jitter; a test may seed it.
 */
class GatewayProcess(
    private val settings: GatewaySettings,
    vertx: Vertx,
    private val clock: Clock = SystemClock,
    private val random: Random,
) : RequestHandler {
    private val log = PartLogger("gateway")
    private val node = NodeRuntime(settings.node, vertx, clock, random, RecordSubscription.ALL)
    private val quota = QuotaExchange(node)
    private val limits = LocalLimits(node, quota)
    private val selection = ServerSelection.byTokenCost(node, settings.node.zone)
    private val budget = RetryBudget()
    private val sender = AttemptSender(node, selection, limits)
    private val calls =
        CallRunner(sender, RetryPolicy({ now -> synchronized(budget) { budget.tryRetry(now) } }), clock)
    private val parser = RequestParser(settings.defaultTimeout, settings.longestTimeout)
    private val identifier = RequestIdentifier(::records)
    private val classifier = CallClassifier { node.configuration.current.value }
    private val requestPrefix = java.lang.Long.toHexString(random.nextLong())
    private val requestCount = AtomicLong()
    private val callers = CallerServer(vertx, settings, this)

    @Volatile
    private var stopping = false

    /** Revision of the records in effect in this gateway. */
    val revision: Long get() = records().revision

    /** Opens the ports and returns the port for callers. */
    suspend fun start(): Int {
        node.openRpc(listOf(quota.rpc))
        node.start(GatewayReadiness())
        quota.start()
        val port = callers.start()
        log.info("started", "zone" to settings.node.zone, "callers" to settings.callers.copy(port = port))
        return port
    }

    /** Takes no new requests, waits for requests in progress to end, then closes. */
    suspend fun shutdown() {
        stopping = true
        log.info("draining")
        callers.stop(settings.node.drainTimeout)
        node.stop(settings.node.drainTimeout)
        log.info("stopped")
    }

    /** Closes at once, as a process that dies does. */
    suspend fun kill() {
        callers.kill()
        node.kill()
    }

    override suspend fun handle(
        request: IncomingRequest,
        sink: HttpAnswerSink,
    ): CallEnd {
        val filters =
            RequestFilter(::requireRecords) then
                parser then
                { RequestIdentifier.Input(it, request.headers).let(identifier::apply) } then
                classifier
        return filters.apply(request).fold(
            success = { run(it, sink) },
            failure = { refusal ->
                node.metrics.requests
                    .labelValues("none", CallEnd.REFUSED.name.lowercase())
                    .inc()
                sink.refuse(refusal.truthfulFor(request.headers[RequestParser.KEY_HEADER]))
                CallEnd.REFUSED
            },
        )
    }

    // Without records every service and organisation is unknown, which the caller must not take for an error of its own.
    private fun requireRecords(request: IncomingRequest): Result<IncomingRequest, Refusal> =
        if (ready()) {
            Ok(request)
        } else {
            Err(Refusal(RefusalReason.NOT_READY, RunState.NO, "The gateway knows no records yet.", RETRY_WHEN_READY))
        }

    override suspend fun issueKeys(
        request: IncomingRequest,
        context: RoutingContext,
    ) {
        val sink = HttpAnswerSink(context.response())
        val body =
            try {
                JsonObject(String(request.body))
            } catch (_: DecodeException) {
                null
            } catch (_: ClassCastException) {
                // The body is valid JSON of another type.
                null
            }
        val count = body?.getValue("count", 1) as? Int
        val name = body?.getValue("service") as? String
        if (name == null || count == null || count !in 1..MOST_KEYS) {
            val detail = "The body needs a 'service' and a 'count' from 1 to $MOST_KEYS."
            return sink.refuse(Refusal(RefusalReason.MALFORMED_REQUEST, RunState.NO, detail))
        }
        val keys = keysOf(ServiceName(name), count)
        if (keys == null) {
            val detail = "No server of the service issues keys now."
            return sink.refuse(Refusal(RefusalReason.NO_SERVER_AVAILABLE, RunState.NO, detail))
        }
        context.json(JsonObject().put("keys", JsonArray(keys)))
    }

    private suspend fun keysOf(
        service: ServiceName,
        count: Int,
    ): List<String>? {
        val servers = records().serversByService[service].orEmpty().filter(records()::mayReceiveWork)
        for (server in servers.shuffled(random)) {
            val stub = WorkServiceGrpcKt.WorkServiceCoroutineStub(node.channels.channel(server.address))
            val message =
                IssueKeysRequest
                    .newBuilder()
                    .setService(service.value)
                    .setCount(count)
                    .build()
            try {
                return stub.withDeadlineAfter(ISSUE_TIMEOUT_SECONDS, TimeUnit.SECONDS).issueKeys(message).keysList
            } catch (_: StatusException) {
                continue
            }
        }
        return null
    }

    private suspend fun run(
        request: ClassifiedRequest,
        sink: HttpAnswerSink,
    ): CallEnd {
        synchronized(budget) { budget.recordFresh(clock.monotonic()) }
        val requestId = "$requestPrefix-${requestCount.incrementAndGet()}"
        sink.identify(requestId)
        val refusal =
            if (ready()) {
                null
            } else {
                Refusal(
                    RefusalReason.NOT_READY,
                    RunState.NO,
                    "The gateway knows no records yet.",
                )
            }
        val end = calls.run(requestId, request, sink, refusal)
        node.metrics.requests
            .labelValues(request.identified.request.service.value, end.name.lowercase())
            .inc()
        return end
    }

    private fun records(): RecordSet = node.records

    private fun ready(): Boolean = records().revision > 0

    private inner class GatewayReadiness : Readiness {
        override fun missing(): List<String> =
            buildList {
                if (stopping) add("shutting down")
                if (!ready()) add("no records")
            }

        override fun remarks(): List<String> =
            if (node.configuration.current.value.confirmed) emptyList() else listOf("unconfirmed")
    }

    private companion object {
        const val MOST_KEYS = 1_000
        val RETRY_WHEN_READY = 1.seconds
        const val ISSUE_TIMEOUT_SECONDS = 2L
    }
}
