package io.kumquattrail.measure.routing

import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.routing.LeastRequests
import io.kumquattrail.decision.routing.PowerOfTwoChoices
import io.kumquattrail.decision.routing.RandomChoice
import io.kumquattrail.decision.routing.RoundRobin
import io.kumquattrail.decision.routing.RoutingPolicy
import io.kumquattrail.decision.routing.TokenCostRouting
import io.kumquattrail.decision.routing.TokenCostSettings
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import kotlin.math.roundToLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Lists the policies that measurements compare, each made for one gateway. */
internal val POLICIES: Map<String, (Random, ZoneName) -> RoutingPolicy> =
    linkedMapOf(
        "round_robin" to { random, _ -> RoundRobin(random) },
        "random_choice" to { random, _ -> RandomChoice(random) },
        "least_requests" to { random, _ -> LeastRequests(random) },
        "power_of_two_choices" to { random, _ -> PowerOfTwoChoices(random) },
        "token_cost" to { random, zone -> TokenCostRouting(random, TokenCostSettings(localZone = zone)) },
    )

/** Measures how policies spread requests over runners of which they have old load reports. */
class RoutingMeasurement : Measurement {
    override val name: String = "routing"

    override val summary: String =
        "Measures first tokens, cache hits and load spread of routing policies with old load reports."

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val results =
            SIZES
                .flatMap { size -> POLICIES.flatMap { (policy, create) -> cases(size, policy, create) } }
                .mapConcurrently { case -> rows(options.seed, case) }
                .flatten()
                .onEach { options.progress(it.toString()) }
        return mapOf("seed" to options.seed, "results" to results, "targets_met" to targetsMet(results))
    }

    /** Returns a case for each age of reports, or one for all ages when the policy does not use reports. */
    private fun cases(
        size: Size,
        policy: String,
        create: (Random, ZoneName) -> RoutingPolicy,
    ): List<Case> =
        if (policy in POLICIES_WITHOUT_REPORTS) {
            listOf(Case(size, REPORT_AGES, policy, create))
        } else {
            REPORT_AGES.map { Case(size, listOf(it), policy, create) }
        }

    private fun rows(
        seed: Long,
        case: Case,
    ): List<Map<String, Any?>> {
        val row = row(seed, case)
        return case.reportAges.map { row + ("report_age_s" to it.toDouble(DurationUnit.SECONDS)) }
    }

    private fun row(
        seed: Long,
        case: Case,
    ): Map<String, Any?> {
        val size = case.size
        val fleet =
            FleetModel(
                FleetOptions(
                    seed = seed,
                    runners = size.runners,
                    gateways = size.gateways,
                    organisations = size.organisations,
                    requestsPerSecond = size.runners * REQUESTS_PER_RUNNER,
                    reportAge = case.reportAges.first(),
                    stragglers = size.stragglers,
                    policy = case.create,
                ),
            )
        fleet.startTraffic()
        fleet.startStragglers()
        fleet.startSpreadSamples()
        fleet.events.runUntil(MonotonicTime.ZERO + size.warmUp)
        fleet.figures.isRecording = true
        fleet.events.runUntil(MonotonicTime.ZERO + size.warmUp + size.measured)
        val figures = fleet.figures
        return mapOf(
            "policy" to case.policy,
            "runners" to size.runners,
            "report_age_s" to 0.0,
            "first_token_p50_ms" to rounded(figures.firstTokenMilliseconds(50.0)),
            "first_token_p95_ms" to rounded(figures.firstTokenMilliseconds(95.0)),
            "first_token_p99_ms" to rounded(figures.firstTokenMilliseconds(99.0)),
            "between_tokens_p95_ms" to rounded(figures.betweenTokensMilliseconds(95.0)),
            "cache_hit_ratio" to rounded(figures.cacheHitRatio),
            "load_spread" to rounded(figures.loadSpread),
            "first_tokens" to figures.firstTokenCount,
            "decision_mean_us" to rounded(figures.meanDecisionMicroseconds),
        )
    }

    private class Case(
        val size: Size,
        val reportAges: List<Duration>,
        val policy: String,
        val create: (Random, ZoneName) -> RoutingPolicy,
    )

    private data class Size(
        val runners: Int,
        val gateways: Int,
        val organisations: Int,
        val stragglers: Int,
        val warmUp: Duration,
        val measured: Duration,
    )

    internal companion object {
        private val POLICIES_WITHOUT_REPORTS = setOf("round_robin", "random_choice")
        private const val REQUESTS_PER_RUNNER = 6.0
        private const val REQUIRED_SHARE_AT_ONE_SECOND = 0.8
        private val REPORT_AGES = listOf(100.milliseconds, 1.seconds, 5.seconds)
        private val SIZES =
            listOf(
                Size(16, gateways = 4, organisations = 10, stragglers = 1, warmUp = 15.seconds, measured = 60.seconds),
                Size(880, gateways = 64, organisations = 500, stragglers = 9, warmUp = 7.seconds, measured = 4.seconds),
            )

        fun rounded(value: Double): Double = (value * 1_000).roundToLong() / 1_000.0

        /** Tells whether `token_cost` is ahead of every other policy by the required shares. */
        fun targetsMet(results: List<Map<String, Any?>>): Boolean =
            results.groupBy { it["runners"] to it["report_age_s"] }.all { (case, rows) ->
                val (ours, others) = rows.partition { it["policy"] == "token_cost" }
                val required = if (case.second == 1.0) REQUIRED_SHARE_AT_ONE_SECOND else 1.0
                val own = ours.single()["first_token_p99_ms"] as Double
                others.all { own < required * (it["first_token_p99_ms"] as Double) }
            }
    }
}
