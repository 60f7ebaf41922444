package io.kumquattrail.decision.limit

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMITED = OrganisationName("limited")
private const val LIMIT = 1_000L
private const val REQUEST_TOKENS = 100L
private const val MESSAGE_BYTES = 120

/** Runs gateways that exchange quota messages without delay, as far as [reachable] says. */
private class Fleet(
    gateways: Int,
) {
    private val random = Random(7)
    private val names = List(gateways) { ProcessName("10.0.0.$it:1") }
    private val policies = names.associateWith { policy(it) }
    private val owners = names.associateWith { QuotaOwner() }
    var reachable = true
    var granted = 0L
    var bytes = 0L

    init {
        policies.values.forEach { it.updateGateways(names, MonotonicTime.ZERO) }
        owners.values.forEach { it.updateGateways(names) }
    }

    fun run(
        steps: IntRange,
        requestsPerStep: Int,
    ) {
        for (step in steps) {
            val now = MonotonicTime.ZERO + 100.milliseconds * step
            repeat(requestsPerStep) {
                val decision = policies.values.random(random).admit(LIMITED, REQUEST_TOKENS, now)
                if (decision is QuotaDecision.Granted) granted += REQUEST_TOKENS
            }
            policies.forEach { (_, policy) -> exchange(policy, now) }
        }
    }

    private fun exchange(
        policy: QuotaPolicy,
        now: MonotonicTime,
    ) = policy.tick(now).forEach { request ->
        bytes += 2 * MESSAGE_BYTES
        if (reachable) policy.receive(request.owner, owners.getValue(request.owner).receive(request.report, now), now)
    }

    private fun policy(name: ProcessName) =
        OwnerQuota(name, Incarnation.random(random), random) { if (it == LIMITED) LIMIT else null }
}

class OwnerQuotaSpec :
    DescribeSpec({
        describe("a limit over the whole fleet") {
            it("holds at five times the limit, although no gateway sees all requests") {
                val fleet = Fleet(gateways = 8)
                fleet.run(0 until 200, requestsPerStep = 5)
                fleet.granted = 0
                fleet.run(200 until 800, requestsPerStep = 5)
                (fleet.granted / 60.0 / LIMIT).shouldBeBetween(0.9, 1.1, 0.0)
            }

            it(
                "refuses nobody at half the limit once the demand is known, where equal static shares refuse uneven arrivals",
            ) {
                val fleet = Fleet(gateways = 40)
                for (step in 0 until 600 step 2) fleet.run(step..step, requestsPerStep = 1)
                fleet.granted = 0
                for (step in 600 until 1_800 step 2) fleet.run(step..step, requestsPerStep = 1)
                fleet.granted shouldBe 600 * REQUEST_TOKENS
            }

            it("falls back to equal shares while the owner is unreachable, or a partition would lift the limit") {
                val fleet = Fleet(gateways = 8)
                fleet.run(0 until 200, requestsPerStep = 5)
                fleet.reachable = false
                fleet.run(200 until 600, requestsPerStep = 5)
                fleet.granted = 0
                fleet.run(600 until 1_200, requestsPerStep = 5)
                (fleet.granted / 60.0 / LIMIT).shouldBeBetween(0.8, 1.1, 0.0)
            }

            it("keeps its messages within the byte budget, or control traffic would grow with the load") {
                val fleet = Fleet(gateways = 40)
                fleet.run(0 until 600, requestsPerStep = 20)
                fleet.bytes / 60.0 / 40 shouldBeLessThan QuotaSettings().bytesPerSecond
            }
        }

        describe("reports") {
            it("keep rising numbers when an owner leaves the view and returns, or it would ignore them as repeated") {
                val self = ProcessName("10.0.0.1:1")
                val owner = ProcessName("10.0.0.2:1")
                val policy = OwnerQuota(self, Incarnation(1, 1), Random(7)) { LIMIT }
                val sequences =
                    (0..3).flatMap { step ->
                        val now = MonotonicTime.ZERO + 3.seconds * step
                        policy.updateGateways(listOf(self), now)
                        policy.updateGateways(listOf(self, owner), now)
                        val requests = policy.tick(now) + policy.tick(now + 1.seconds)
                        requests.filter { it.owner == owner }.map { it.report.sequence }
                    }
                sequences shouldHaveSize 4
                sequences shouldBe sequences.distinct().sorted()
            }
        }

        describe("the owner") {
            val gateway = ProcessName("10.0.0.1:1")
            val report =
                QuotaReport(
                    gateway = gateway,
                    incarnation = Incarnation(1, 1),
                    sequence = 1,
                    usages = persistentListOf(QuotaUsage(OrganisationKey.of(LIMITED), 4_000, 40, LIMIT)),
                )

            it("counts a repeated report once, or a lost response would double the demand") {
                val once = QuotaOwner()
                val twice = QuotaOwner()
                once.receive(report, MonotonicTime.ZERO)
                repeat(2) { twice.receive(report, MonotonicTime.ZERO) }
                val later = MonotonicTime.ZERO + 3.seconds
                twice.receive(report, later).demands shouldBe once.receive(report, later).demands
            }

            it("gives no figure in its first round, when reports of other gateways are still missing") {
                QuotaOwner()
                    .receive(report, MonotonicTime.ZERO)
                    .demands
                    .single()
                    .tokensPerSecond
                    .shouldBeNull()
            }
        }
    })
