package io.kumquattrail.decision.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun server(
    index: Int,
    slots: Int = 8,
) = BackendServer(
    name = ServerName("s$index"),
    service = ServiceName("drafting"),
    host = "127.0.0.1",
    port = 8_000 + index,
    zone = ZoneName("zone-${index % 3}"),
    slots = slots,
)

private val SERVERS = (0 until 16).map { server(it) }

class EvenPlacementSpec :
    DescribeSpec({
        val now = MonotonicTime.ZERO + 10.seconds

        describe("placement under full load") {
            it(
                "the fullest server stays within two requests of the mean when five processes report twice a second",
            ) {
                val tables = List(5) { LoadTable() }
                val placements = tables.map { EvenPlacement(it, ZoneName("zone-0")) }
                val random = Random(7)
                val totals = HashMap<ServerName, Int>()
                repeat(96) { request ->
                    val process = random.nextInt(5)
                    if (request % 12 == 0) {
                        tables.forEachIndexed { index, table ->
                            tables.forEachIndexed { other, peer ->
                                if (other !=
                                    index
                                ) {
                                    table.recordPeerLoad(ProcessName("p$other"), peer.ownInProgress.toMap(), now)
                                }
                            }
                        }
                    }
                    val decision = placements[process].choose(SERVERS, emptySet(), now, random.nextInt(1_000))
                    val placed = decision.shouldBeInstanceOf<PlacementDecision.Place>().server.name
                    tables[process].started(placed)
                    totals.merge(placed, 1, Int::plus)
                }
                totals.values.max() shouldBeLessThanOrEqualTo 96 / 16 + 2
            }

            it(
                "placement reports all servers as full when all slots are taken, so that nothing queues at a server",
            ) {
                val table = LoadTable()
                table.recordPeerLoad(ProcessName("p1"), SERVERS.associate { it.name to 8 }, now)
                EvenPlacement(table, ZoneName("zone-0")).choose(SERVERS, emptySet(), now, 0) shouldBe
                    PlacementDecision.AllFull
            }

            it("placement uses a full server again when the peer that filled it has sent no report for three seconds") {
                val table = LoadTable()
                table.recordPeerLoad(ProcessName("p1"), SERVERS.associate { it.name to 8 }, now)
                EvenPlacement(table, ZoneName("zone-0"))
                    .choose(SERVERS, emptySet(), now + 3.seconds, 0)
                    .shouldBeInstanceOf<PlacementDecision.Place>()
            }
        }

        describe("suspects, which were in progress when a server crashed") {
            fun place(
                key: String,
                occupied: Set<ServerName> = emptySet(),
                tieBreak: Int = 0,
            ) = EvenPlacement(LoadTable(), ZoneName("zone-0"))
                .choose(SERVERS, emptySet(), now, tieBreak, isolation = SuspectIsolation(key, occupied))
                .shouldBeInstanceOf<PlacementDecision.Place>()
                .server.name

            // Copies of one request on several servers would each crash one.
            it("copies of a suspect go to the same server from all processes") {
                (0..9).map { place("fatal", tieBreak = it) }.distinct() shouldHaveSize 1
            }

            it("a suspect goes to a server without other suspects as long as there is one") {
                val first = place("fatal")
                place("fatal", occupied = setOf(first)) shouldNotBe first
                place("fatal", occupied = SERVERS.mapTo(HashSet()) { it.name }) shouldBe first
            }
        }

        describe("a failing server") {
            it("a server is avoided after a failed connection, and used when it is the only one") {
                val table = LoadTable()
                table.health(ServerName("s0")).recordUnreachable(now)
                val placement = EvenPlacement(table, ZoneName("zone-0"))
                val pair = SERVERS.take(2)
                repeat(4) { tie ->
                    placement
                        .choose(pair, emptySet(), now, tie)
                        .shouldBeInstanceOf<PlacementDecision.Place>()
                        .server.name shouldBe ServerName("s1")
                }
                placement
                    .choose(pair.take(1), emptySet(), now, 0)
                    .shouldBeInstanceOf<PlacementDecision.Place>()
                    .server.name shouldBe ServerName("s0")
            }

            it(
                "the failure rate is high after eight failures and decays in 30 seconds, so the server is used again",
            ) {
                val health = ServerHealth()
                repeat(8) { health.recordFailure(now) }
                health.failureRate(now) shouldBeGreaterThan 0.8
                health.failureRate(now + 30.seconds) shouldBeLessThanOrEqualTo 0.01
            }
        }
    })

class RequestQueueSpec :
    DescribeSpec({
        val start = MonotonicTime.ZERO + 10.seconds

        fun queueWithRate(endsPerSecond: Int) =
            RequestQueue().apply {
                repeat(endsPerSecond * 2) { slotFreed(start + (2_000.0 / (endsPerSecond * 2) * it).milliseconds) }
            }

        val now = start + 2.seconds

        describe("a burst of twice the capacity") {
            it("requests that can start in time may wait, and all others are refused at once") {
                val queue = queueWithRate(endsPerSecond = 20)
                val decisions =
                    (1..40).map {
                        queue.decide(1, now + 300.milliseconds, now, jitter = 0.5).also { decision ->
                            if (decision ==
                                QueueingDecision.Wait
                            ) {
                                queue.enter(QueuedRequest(1, now, now + 300.milliseconds))
                            }
                        }
                    }
                decisions.count { it == QueueingDecision.Wait } shouldBe 6
                decisions.drop(6).all { it is QueueingDecision.Refuse } shouldBe true
            }

            it("an urgent request waits only behind requests of the same or a higher priority") {
                val queue = queueWithRate(endsPerSecond = 20)
                repeat(6) {
                    queue.enter(
                        QueuedRequest(
                            priority = 2,
                            enteredAt = now,
                            latestStart =
                                now + 300.milliseconds,
                        ),
                    )
                }
                val urgent =
                    QueuedRequest(
                        priority = 0,
                        enteredAt = now + 1.milliseconds,
                        latestStart =
                            now + 300.milliseconds,
                    )
                queue.decide(0, urgent.latestStart, now, jitter = 0.0) shouldBe QueueingDecision.Wait
                queue.enter(urgent)
                queue.inOrder().first() shouldBe urgent
            }

            it("refused callers are told to retry at different times, after the queue has been served") {
                val queue = queueWithRate(endsPerSecond = 20)
                repeat(20) { queue.enter(QueuedRequest(priority = 1, enteredAt = now, latestStart = now)) }

                fun retryAfter(jitter: Double) =
                    queue.decide(1, now, now, jitter).shouldBeInstanceOf<QueueingDecision.Refuse>().retryAfter

                retryAfter(0.0) shouldBeGreaterThan 1.seconds
                retryAfter(0.6) shouldBeGreaterThan retryAfter(0.0)
            }
        }
    })

class SharedAllowanceSpec :
    DescribeSpec({
        val now = MonotonicTime.ZERO

        describe("the split of an allowance") {
            it("the parts add up to at most the total when no process reaches another") {
                val parts = List(8) { SharedAllowance().partOf(92.0) }
                parts.sum() shouldBeLessThanOrEqualTo 92.0
            }

            it("a part stays small through a partition, and follows the number of processes after 60 seconds") {
                val allowance = SharedAllowance()
                allowance.recordProcessCount(20, now)
                allowance.recordProcessCount(1, now + 10.seconds)
                allowance.partOf(100.0) shouldBe 5.0
                allowance.recordProcessCount(10, now + 90.seconds)
                allowance.partOf(100.0) shouldBe 10.0
            }
        }

        describe("the rate limit of a cold server") {
            it("the rate limit of a cold server holds in any second, also across the boundary of two seconds") {
                val limit = ColdRateLimit(SharedAllowance())
                val server = ServerName("s1")
                val sent =
                    (0 until 200).count { tick ->
                        val at = now + (10 * tick).milliseconds
                        limit.mayStart(server, total = 44.0, now = at).also { if (it) limit.recordSend(server, at) }
                    }
                // 44 requests per second for eight processes: each may send five in a window of 1.1 s, ten in two.
                sent shouldBeLessThanOrEqualTo 10
            }
        }
    })
