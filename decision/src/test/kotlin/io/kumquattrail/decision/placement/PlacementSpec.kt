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

        describe("placement at the load of a full fleet") {
            it(
                "keeps the fullest server within two requests of the mean with five processes that report twice a second",
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
                                    table.peerReported(ProcessName("p$other"), peer.ownInProgress.toMap(), now)
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
                "reports that all are full when every slot is taken by some process, so that nothing queues at a server",
            ) {
                val table = LoadTable()
                table.peerReported(ProcessName("p1"), SERVERS.associate { it.name to 8 }, now)
                EvenPlacement(table, ZoneName("zone-0")).choose(SERVERS, emptySet(), now, 0) shouldBe
                    PlacementDecision.AllFull
            }

            it("uses a server again when the peer that filled it has been silent") {
                val table = LoadTable()
                table.peerReported(ProcessName("p1"), SERVERS.associate { it.name to 8 }, now)
                EvenPlacement(table, ZoneName("zone-0"))
                    .choose(SERVERS, emptySet(), now + 3.seconds, 0)
                    .shouldBeInstanceOf<PlacementDecision.Place>()
            }
        }

        describe("requests that were in progress as a server ended") {
            fun place(
                key: String,
                occupied: Set<ServerName> = emptySet(),
                tieBreak: Int = 0,
            ) = EvenPlacement(LoadTable(), ZoneName("zone-0"))
                .choose(SERVERS, emptySet(), now, tieBreak, apart = ApartRun(key, occupied))
                .shouldBeInstanceOf<PlacementDecision.Place>()
                .server.name

            // Copies of one request on several servers would each end one.
            it("go to the same server from all processes") {
                (0..9).map { place("fatal", tieBreak = it) }.distinct() shouldHaveSize 1
            }

            it("go to servers of their own while there are any") {
                val first = place("fatal")
                place("fatal", occupied = setOf(first)) shouldNotBe first
                place("fatal", occupied = SERVERS.mapTo(HashSet()) { it.name }) shouldBe first
            }
        }

        describe("a server that fails") {
            it("is avoided after a failed connection, and used when it is the only one") {
                val table = LoadTable()
                table.health(ServerName("s0")).unreachable(now)
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

            it("gets less work while part of its requests fail, and the same as others after a while") {
                val health = ServerHealth()
                repeat(8) { health.failed(now) }
                health.failureRate(now) shouldBeGreaterThan 0.8
                health.failureRate(now + 30.seconds) shouldBeLessThanOrEqualTo 0.01
            }
        }
    })

class WaitingLineSpec :
    DescribeSpec({
        val start = MonotonicTime.ZERO + 10.seconds

        fun lineWithRate(endingsPerSecond: Int) =
            WaitingLine().apply {
                repeat(endingsPerSecond * 2) { roomLeft(start + (2_000.0 / (endingsPerSecond * 2) * it).milliseconds) }
            }

        val now = start + 2.seconds

        describe("a burst of twice the capacity") {
            it("is admitted as far as it can start in time, and the rest is refused at once") {
                val line = lineWithRate(endingsPerSecond = 20)
                val decisions =
                    (1..40).map {
                        line.decide(1, now + 300.milliseconds, now, spread = 0.5).also { decision ->
                            if (decision ==
                                WaitingDecision.Wait
                            ) {
                                line.enter(WaitingRequest(1, now, now + 300.milliseconds))
                            }
                        }
                    }
                decisions.count { it == WaitingDecision.Wait } shouldBe 6
                decisions.drop(6).all { it is WaitingDecision.Refuse } shouldBe true
            }

            it("lets a more urgent request wait behind its equals only") {
                val line = lineWithRate(endingsPerSecond = 20)
                repeat(6) {
                    line.enter(
                        WaitingRequest(
                            priority = 2,
                            enteredAt = now,
                            latestStart =
                                now + 300.milliseconds,
                        ),
                    )
                }
                val urgent =
                    WaitingRequest(
                        priority = 0,
                        enteredAt = now + 1.milliseconds,
                        latestStart =
                            now + 300.milliseconds,
                    )
                line.decide(0, urgent.latestStart, now, spread = 0.0) shouldBe WaitingDecision.Wait
                line.enter(urgent)
                line.inOrder().first() shouldBe urgent
            }

            it("tells refused callers to return at different times, after the line is gone") {
                val line = lineWithRate(endingsPerSecond = 20)
                repeat(20) { line.enter(WaitingRequest(priority = 1, enteredAt = now, latestStart = now)) }

                fun retryAfter(spread: Double) =
                    line.decide(1, now, now, spread).shouldBeInstanceOf<WaitingDecision.Refuse>().retryAfter

                retryAfter(0.0) shouldBeGreaterThan 1.seconds
                retryAfter(0.6) shouldBeGreaterThan retryAfter(0.0)
            }
        }
    })

class SharedAllowanceSpec :
    DescribeSpec({
        val now = MonotonicTime.ZERO

        describe("the split of an allowance") {
            it("stays below the whole when no process sees any other") {
                val parts = List(8) { SharedAllowance().partOf(92.0) }
                parts.sum() shouldBeLessThanOrEqualTo 92.0
            }

            it("remembers a larger fleet through a partition, and forgets it in the end") {
                val allowance = SharedAllowance()
                allowance.seen(20, now)
                allowance.seen(1, now + 10.seconds)
                allowance.partOf(100.0) shouldBe 5.0
                allowance.seen(10, now + 90.seconds)
                allowance.partOf(100.0) shouldBe 10.0
            }
        }

        describe("the rate of a cold server") {
            it("holds in any second, also across the border of two") {
                val limit = ColdRateLimit(SharedAllowance())
                val server = ServerName("s1")
                val sent =
                    (0 until 200).count { tick ->
                        val at = now + (10 * tick).milliseconds
                        limit.mayStart(server, total = 44.0, now = at).also { if (it) limit.sent(server, at) }
                    }
                // 44 a second for eight processes are five a second for each, over two seconds and the window's margin.
                sent shouldBeLessThanOrEqualTo 10
            }
        }
    })
