package io.kumquattrail.decision.expert.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun process(number: Int) = ProcessName("gateway-$number")

/** Simulates gateways that are all in contact with each other, in virtual time. */
private class SimulatedGateways(
    count: Int,
) {
    val leaderships = (1..count).associate { process(it) to MapLeadership(process(it)) }.toMutableMap()
    val ready = leaderships.keys.toMutableSet()
    var now = MonotonicTime.ZERO + 60.seconds

    fun runRounds(rounds: Int) =
        repeat(rounds) {
            val roles = leaderships.mapValues { it.value.role == MapRole.KEEPS }
            leaderships.forEach { (name, leadership) ->
                val peers = (ready - name).map { MapLeaderCandidate(it, roles.getValue(it)) }
                leadership.decide(name in ready, peers, now)
            }
            now += 50.milliseconds
        }

    fun mapLeaders(): List<ProcessName> = leaderships.filterValues { it.role == MapRole.KEEPS }.keys.toList()
}

class MapLeadershipSpec :
    DescribeSpec({
        describe("gateways that start together") {
            it("gateways that start together choose the one with the lowest name as map leader") {
                val gateways = SimulatedGateways(4).apply { runRounds(20) }
                gateways.mapLeaders() shouldBe listOf(process(1))
            }
        }

        describe("a restart of each gateway in turn") {
            it("a rolling restart replaces the map leader only when it stops, as a new one has to read all ranks") {
                val gateways = SimulatedGateways(4).apply { runRounds(20) }
                var leaderChanges = 0
                (1..4).forEach { number ->
                    val before = gateways.mapLeaders()
                    gateways.ready -= process(number)
                    gateways.runRounds(30)
                    gateways.leaderships[process(number)] = MapLeadership(process(number))
                    gateways.ready += process(number)
                    gateways.runRounds(30)
                    if (gateways.mapLeaders() != before) leaderChanges += 1
                }
                // Gateway 1 hands the role over to 2, which hands it back to 1; 3 and 4 are never map leaders.
                leaderChanges shouldBe 2
                gateways.mapLeaders().size shouldBe 1
            }
        }

        describe("a gateway with the lowest name that starts while the configuration service is down") {
            it("a gateway that becomes ready late does not replace the map leader, despite its lower name") {
                val gateways = SimulatedGateways(3)
                gateways.ready -= process(1)
                gateways.runRounds(40)
                gateways.mapLeaders() shouldBe listOf(process(2))
                gateways.ready += process(1)
                gateways.runRounds(40)
                gateways.mapLeaders() shouldBe listOf(process(2))
            }
        }

        describe("a map leader that is lost and may have left a group held") {
            it("a lost map leader is replaced at once by a gateway that has long been ready") {
                val gateways = SimulatedGateways(3).apply { runRounds(40) }
                gateways.mapLeaders() shouldBe listOf(process(1))
                gateways.leaderships.remove(process(1))
                gateways.ready -= process(1)
                gateways.runRounds(2)
                gateways.mapLeaders() shouldBe listOf(process(2))
            }
        }

        describe("two gateways that became map leaders without contact") {
            it("of two map leaders that meet, the one with the lower name keeps the role") {
                val first = MapLeadership(process(1))
                val second = MapLeadership(process(2))
                var now = MonotonicTime.ZERO + 60.seconds
                repeat(30) {
                    first.decide(isReady = true, peers = emptyList(), now = now)
                    second.decide(isReady = true, peers = emptyList(), now = now)
                    now += 50.milliseconds
                }
                second.role shouldBe MapRole.KEEPS
                first.decide(true, listOf(MapLeaderCandidate(process(2), isMapLeader = true)), now) shouldBe
                    MapRole.KEEPS
                second.decide(true, listOf(MapLeaderCandidate(process(1), isMapLeader = true)), now) shouldBe
                    MapRole.FOLLOWS
            }
        }
    })
