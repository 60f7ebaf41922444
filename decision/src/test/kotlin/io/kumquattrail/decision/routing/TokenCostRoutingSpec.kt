package io.kumquattrail.decision.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CHOICES = 2_000

private fun target(
    index: Int,
    weight: Int = 1,
    inService: Boolean = true,
) = RoutingTarget(ServerName("server-$index"), ZoneName("zone-${index % 3}"), weight, inService)

private fun report(
    tokens: Long = 0,
    limit: Int = 32,
    running: Int = 0,
    millisecondsPerToken: Double = 30.0,
) = LoadReport(
    running = running,
    queued = 0,
    queuedTokens = 0,
    concurrencyLimit = limit,
    tokensInFlight = tokens,
    tokenLimit = 64_000,
    millisecondsPerToken = millisecondsPerToken,
    firstTokenMilliseconds = 100.0,
    cold = limit < 32,
    draining = false,
    incarnation = Incarnation(1, 1),
    revision = 1,
)

/** Chooses servers on virtual time; requests end at once unless they are kept. */
private class Gateway(
    targets: List<RoutingTarget>,
    settings: TokenCostSettings = TokenCostSettings(),
    seed: Int = 1,
) {
    val policy = TokenCostRouting(Random(seed), settings)
    var now = MonotonicTime(1_000_000_000)

    init {
        policy.updateTargets(targets)
        targets.forEach { tell(it.name, report()) }
    }

    fun tell(
        server: ServerName,
        report: LoadReport,
    ) = policy.onLoadReport(server, report, now)

    fun choose(request: RoutingRequest = RoutingRequest(200, 100)): Assignment? =
        (policy.choose(request, now) as? RoutingDecision.Chosen)?.assignment

    fun complete(
        assignment: Assignment,
        firstTokenMilliseconds: Int = 50,
    ) {
        policy.onFirstToken(assignment, assignment.sentAt + firstTokenMilliseconds.milliseconds)
        policy.onEnd(assignment, AssignmentEnd.Completed, now)
    }

    /** Counts the choices of each server's number. */
    fun counts(request: RoutingRequest = RoutingRequest(200, 100)): Map<Int, Int> =
        (1..CHOICES)
            .map {
                val assignment = checkNotNull(choose(request))
                complete(assignment)
                assignment.server.value
                    .substringAfter('-')
                    .toInt()
            }.groupingBy { it }
            .eachCount()
}

class TokenCostRoutingSpec :
    DescribeSpec({
        val servers = List(9) { target(it) }

        describe("a choice") {
            it("never takes a server out of service, or one that the request was handed back by") {
                val gateway = Gateway(List(9) { target(it, inService = it % 3 != 0) })
                val excluded = setOf(ServerName("server-1"), ServerName("server-2"))
                gateway.counts(RoutingRequest(200, 100, excluded = excluded)).keys shouldContainExactlyInAnyOrder
                    listOf(4, 5, 7, 8)
            }

            it("chooses a server again after it returned to service, although an idle server sends no new report") {
                val gateway = Gateway(listOf(target(0)))
                gateway.tell(ServerName("server-0"), report().copy(draining = true))
                gateway.choose() shouldBe null
                gateway.now += 3.seconds
                gateway.choose()?.server shouldBe ServerName("server-0")
            }

            it("reports that there is no server instead of using one that is out of service") {
                Gateway(List(3) { target(it, inService = false) }).choose() shouldBe null
            }

            it("sends a cold server no more than its limit, of this gateway's own requests") {
                val gateway = Gateway(servers)
                gateway.tell(servers[4].name, report(limit = 2))
                val chosen = List(100) { checkNotNull(gateway.choose()).server }
                chosen.count { it == servers[4].name } shouldBeInRange 0..2
            }

            it("avoids a server for a while after it handed work back") {
                val gateway = Gateway(List(2) { target(it) })
                val first = checkNotNull(gateway.choose())
                gateway.policy.onEnd(first, AssignmentEnd.NotRun(1.seconds), gateway.now)
                gateway.counts().keys.size shouldBe 1
                gateway.now += 2.seconds
                gateway.counts().keys.size shouldBe 2
            }

            it("follows published weights") {
                val counts = Gateway(List(8) { target(it, weight = if (it == 0) 4 else 1) }).counts()
                counts.getValue(0) shouldBeGreaterThan 2 * counts.getValue(1)
            }

            it("keeps to published weights when first tokens vary, whose noise is no evidence") {
                val gateway = Gateway(List(8) { target(it, weight = if (it == 0) 4 else 1) })
                val random = Random(1)
                val chosen =
                    (1..CHOICES).map {
                        val assignment = checkNotNull(gateway.choose())
                        gateway.complete(assignment, firstTokenMilliseconds = random.nextInt(40, 60))
                        assignment.server.value
                    }
                chosen.count { it == "server-0" } shouldBeGreaterThan 2 * chosen.count { it == "server-1" }
            }
        }

        describe("a prefix") {
            val prefix = listOf(PrefixBlock(hash = 11, tokens = 1_000), PrefixBlock(hash = 12, tokens = 2_000))
            val request = RoutingRequest(3_200, 100, prefix)

            it("draws its next request to the server that holds it, whose cost is less by the cached tokens") {
                val gateway = Gateway(servers)
                val first = checkNotNull(gateway.choose(request))
                gateway.complete(first)
                val second = checkNotNull(gateway.choose(request))
                second.server shouldBe first.server
                second.cost.promptTokens shouldBe 200
            }

            it("is no longer relied on after a cache event says that it was removed") {
                val gateway = Gateway(servers)
                val first = checkNotNull(gateway.choose(request))
                gateway.complete(first)
                gateway.policy.onCacheEvent(CacheEvent(first.server, sequence = 1, removed = listOf(11, 12)))
                checkNotNull(gateway.choose(request)).cost.promptTokens shouldBe 3_200
            }

            it("counts half after a gap in the cache events, which may have hidden its removal") {
                val gateway = Gateway(servers)
                val first = checkNotNull(gateway.choose(request))
                gateway.policy.onCacheEvent(CacheEvent(first.server, sequence = 1))
                gateway.complete(first)
                gateway.policy.onCacheEvent(CacheEvent(first.server, sequence = 3))
                checkNotNull(gateway.choose(request)).cost.promptTokens shouldBe 3_200 - 1_500
            }

            it("does not draw requests to a server with a long queue") {
                val gateway = Gateway(servers)
                val first = checkNotNull(gateway.choose(request))
                gateway.complete(first)
                gateway.tell(first.server, report(tokens = 60_000, running = 40))
                (checkNotNull(gateway.choose(request)).server == first.server) shouldBe false
            }
        }

        describe("load") {
            it("that was reported long ago does not make all gateways choose the same server") {
                val first =
                    List(40) { seed ->
                        val gateway = Gateway(servers, TokenCostSettings(draws = 40), seed)
                        servers.drop(1).forEach { gateway.tell(it.name, report(tokens = 20_000)) }
                        gateway.now += 30.seconds
                        checkNotNull(gateway.choose()).server
                    }
                first.count { it == servers[0].name } shouldBeLessThan 20
            }

            it("spills over to other zones in proportion to the local zone's load") {
                val settings = TokenCostSettings(localZone = ZoneName("zone-0"), draws = 1)
                val gateway = Gateway(servers, settings)
                val before =
                    gateway
                        .counts()
                        .filterKeys { it % 3 == 0 }
                        .values
                        .sum()
                servers.filter { it.zone == settings.localZone }.forEach {
                    gateway.tell(
                        it.name,
                        report(tokens = 58_000),
                    )
                }
                val after =
                    gateway
                        .counts()
                        .filterKeys { it % 3 == 0 }
                        .values
                        .sum()
                before shouldBeInRange 800..1_200
                after shouldBeInRange 20..500
            }
        }

        describe("a straggler") {
            it("gets no work on the evidence of its reports, and a probe when nobody else measures it") {
                val gateway = Gateway(servers)
                repeat(20) { servers.forEach { gateway.tell(it.name, report()) } }
                gateway.tell(servers[3].name, report(running = 1, millisecondsPerToken = 120.0))
                gateway.counts().containsKey(3) shouldBe false
                gateway.tell(servers[3].name, report(running = 0, millisecondsPerToken = 120.0))
                gateway.now += 4.seconds
                gateway.counts().getValue(3) shouldBe 1
            }
        }

        describe("a server whose only request had a late first token") {
            it("gets work again within seconds at low load, where all other servers are idle too") {
                val counts =
                    (1..20).map { seed ->
                        val settings = TokenCostSettings(localZone = ZoneName("zone-1"))
                        val gateway = Gateway(servers.take(3), settings, seed)
                        val request = RoutingRequest(200, 100, excluded = setOf(servers[1].name, servers[2].name))
                        val late = checkNotNull(gateway.choose(request))
                        gateway.complete(late, firstTokenMilliseconds = 668)
                        (1..200).count {
                            gateway.now += 50.milliseconds
                            val next = checkNotNull(gateway.choose()).also { gateway.complete(it, 25) }
                            next.server == late.server
                        }
                    }
                counts.min() shouldBeGreaterThan 0
            }
        }

        describe("a server whose last report came with the answer to its last request") {
            it("is probed as idle although the report names a running request, when the report was slow") {
                val gateway = Gateway(servers)
                repeat(20) { servers.forEach { gateway.tell(it.name, report()) } }
                gateway.tell(servers[3].name, report(running = 1, millisecondsPerToken = 120.0))
                gateway.now += 4.seconds
                gateway.counts().getValue(3) shouldBe 1
            }

            it("is not full for good although the report names as many requests as its cold limit") {
                val gateway = Gateway(servers)
                gateway.tell(servers[3].name, report(running = 2, limit = 2))
                gateway.counts().containsKey(3) shouldBe false
                gateway.now += 4.seconds
                gateway.counts().getValue(3) shouldBeGreaterThan 0
            }
        }

        describe("the subset of a gateway") {
            it("keeps enough servers of each zone, so that a zone's leaving does not leave a gateway without choice") {
                val targets =
                    List(880) { index ->
                        target(index).copy(
                            zone =
                                ZoneName(
                                    if (index <
                                        20
                                    ) {
                                        "small"
                                    } else {
                                        "large"
                                    },
                                ),
                        )
                    }
                val chosen = ServerSubset().choose(ProcessName("10.0.0.1:1"), targets)
                chosen.size shouldBe 96
                chosen.count { it.zone == ZoneName("small") } shouldBeInRange 16..20
            }

            it("changes by few servers when one leaves") {
                val targets = List(880) { target(it) }
                val subset = ServerSubset()
                val before = subset.choose(ProcessName("10.0.0.1:1"), targets).map { it.name }
                val left = targets.map { if (it.name == before[0]) it.copy(inService = false) else it }
                val after = subset.choose(ProcessName("10.0.0.1:1"), left).map { it.name }
                (after - before.toSet()).size shouldBeLessThan 3
            }
        }
    })
