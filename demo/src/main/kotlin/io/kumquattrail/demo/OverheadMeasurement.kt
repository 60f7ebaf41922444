package io.kumquattrail.demo

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.routing.AssignmentEnd
import io.kumquattrail.decision.routing.RoutingDecision
import io.kumquattrail.decision.routing.RoutingRequest
import io.kumquattrail.decision.routing.RoutingTarget
import io.kumquattrail.decision.routing.TokenCostRouting
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import io.kumquattrail.standin.engine.EngineProfile
import io.vertx.core.Vertx
import io.vertx.core.http.PoolOptions
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.HdrHistogram.Histogram
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Measures what gateway and agent add to a call of the stand-in, and how long a routing decision takes. */
class OverheadMeasurement : Measurement {
    override val name: String = "overhead"

    override val summary: String = "latency and throughput against the stand-in called directly"

    override fun run(options: MeasurementOptions): Map<String, Any?> =
        runBlocking {
            val vertx = Vertx.vertx()
            val fleet = LocalFleet(vertx, FleetSize(runners = RUNNERS, gateways = 1), PROFILE, options.seed)
            try {
                withContext(Dispatchers.Default) {
                    fleet.start()
                    awaitReady(fleet)
                    measure(vertx, fleet, options)
                }
            } finally {
                fleet.stop()
                vertx.close().coAwait()
            }
        }

    private suspend fun measure(
        vertx: Vertx,
        fleet: LocalFleet,
        options: MeasurementOptions,
    ): Map<String, Any?> {
        val client = WebClient.create(vertx, WebClientOptions(), PoolOptions().setHttp1MaxSize(CLIENT_CONNECTIONS))
        val direct = fleet.engines.values.map { it.port }
        val through = fleet.callerPorts
        repeat(WARM_UP_ROUNDS) {
            call(client, direct, CONCURRENCY_LOW, WARM_UP_CALLS)
            call(client, through, CONCURRENCY_LOW, WARM_UP_CALLS)
        }
        options.progress("warmed up")
        // Both paths alternate, so that a change in the machine's load meets both.
        val rounds =
            (1..ROUNDS).map {
                Round(call(client, direct, CONCURRENCY_LOW, CALLS), call(client, through, CONCURRENCY_LOW, CALLS))
            }
        val addedMedian = rounds.map { it.through.median - it.direct.median }.median()
        val addedHigh = rounds.map { it.through.high - it.direct.high }.median()
        val loaded =
            Round(call(client, direct, CONCURRENCY_HIGH, CALLS), call(client, through, CONCURRENCY_HIGH, CALLS))
        val decisions16 = decisionsPerSecond(runners = 16, options.seed)
        val decisions880 = decisionsPerSecond(runners = 880, options.seed)
        return mapOf(
            "seed" to options.seed,
            "results" to
                listOf(
                    mapOf(
                        "added_p50_ms" to addedMedian,
                        "added_p99_ms" to addedHigh,
                        "direct_p50_ms" to rounds.map { it.direct.median }.median(),
                        "direct_p99_ms" to rounds.map { it.direct.high }.median(),
                        "throughput_ratio" to loaded.through.perSecond / loaded.direct.perSecond,
                        "decisions_per_second_16" to decisions16,
                        "decisions_per_second_880" to decisions880,
                    ),
                ),
            "targets_met" to
                (addedMedian <= MEDIAN_TARGET && addedHigh <= HIGH_TARGET && decisions880 > DECISIONS_TARGET),
        )
    }

    private class Round(
        val direct: CallFigures,
        val through: CallFigures,
    )

    private class CallFigures(
        val median: Double,
        val high: Double,
        val perSecond: Double,
    )

    private suspend fun call(
        client: WebClient,
        ports: List<Int>,
        concurrency: Int,
        calls: Int,
    ): CallFigures {
        val start = System.nanoTime()
        val histograms =
            coroutineScope {
                (0 until concurrency)
                    .map { worker -> async { worker(client, ports, worker, calls / concurrency) } }
                    .awaitAll()
            }
        val seconds = (System.nanoTime() - start) / NANOSECONDS_PER_SECOND
        val all = Histogram(LARGEST_MICROSECONDS, DIGITS).also { all -> histograms.forEach(all::add) }
        return CallFigures(
            median = all.getValueAtPercentile(50.0) / MICROSECONDS_PER_MILLISECOND,
            high = all.getValueAtPercentile(99.0) / MICROSECONDS_PER_MILLISECOND,
            perSecond = calls / seconds,
        )
    }

    private suspend fun worker(
        client: WebClient,
        ports: List<Int>,
        worker: Int,
        calls: Int,
    ): Histogram {
        val histogram = Histogram(LARGEST_MICROSECONDS, DIGITS)
        repeat(calls) { index ->
            val body =
                JsonObject().put("model", LocalFleet.DRAFTING).put("prompt", "call $worker $index").put("max_tokens", 1)
            val start = System.nanoTime()
            val response =
                client
                    .post(ports[(worker + index) % ports.size], "127.0.0.1", "/v1/completions")
                    .putHeader("X-Organisation", "hanbit")
                    .sendJsonObject(body)
                    .coAwait()
            check(response.statusCode() == HTTP_OK) { "status ${response.statusCode()}: ${response.bodyAsString()}" }
            histogram.recordValue((System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND)
        }
        return histogram
    }

    private fun decisionsPerSecond(
        runners: Int,
        seed: Long,
    ): Double {
        val policy = TokenCostRouting(Random(seed))
        policy.updateTargets(
            (0 until runners).map { RoutingTarget(ServerName("server-$it"), ZoneName("zone-${it % ZONES}")) },
        )
        decide(policy, DECISIONS)
        val start = System.nanoTime()
        decide(policy, DECISIONS)
        return DECISIONS / ((System.nanoTime() - start) / NANOSECONDS_PER_SECOND)
    }

    private fun decide(
        policy: TokenCostRouting,
        decisions: Int,
    ) {
        val request = RoutingRequest(promptTokens = 400, outputTokens = 200)
        repeat(decisions) { index ->
            val now = MonotonicTime(index * DECISION_INTERVAL_NANOSECONDS)
            val decision = policy.choose(request, now)
            if (decision is RoutingDecision.Chosen) policy.onEnd(decision.assignment, AssignmentEnd.Completed, now)
        }
    }

    private suspend fun awaitReady(fleet: LocalFleet) {
        withTimeoutOrNull(READY_TIMEOUT) {
            while (fleet.gateways.any { it.revision < fleet.records.newestRevision }) delay(READY_POLL)
            while (fleet.agents.values.any { it.load.draining }) delay(READY_POLL)
        }
    }

    private fun List<Double>.median(): Double = sorted()[size / 2]

    private companion object {
        val PROFILE = EngineProfile(firstTokenMilliseconds = 2, coldRequests = 0)
        const val RUNNERS = 4
        const val ZONES = 6
        const val CLIENT_CONNECTIONS = 64
        const val CONCURRENCY_LOW = 4
        const val CONCURRENCY_HIGH = 48
        const val WARM_UP_ROUNDS = 4
        const val WARM_UP_CALLS = 2_000
        const val ROUNDS = 5
        const val CALLS = 2_400
        const val DECISIONS = 200_000
        const val DECISION_INTERVAL_NANOSECONDS = 100_000L
        const val LARGEST_MICROSECONDS = 60_000_000L
        const val DIGITS = 3
        const val NANOSECONDS_PER_SECOND = 1e9
        const val NANOSECONDS_PER_MICROSECOND = 1_000
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
        const val HTTP_OK = 200
        const val MEDIAN_TARGET = 1.0
        const val HIGH_TARGET = 3.0
        const val DECISIONS_TARGET = 100_000.0
        val READY_TIMEOUT = 20.seconds
        val READY_POLL = 20.milliseconds
    }
}
