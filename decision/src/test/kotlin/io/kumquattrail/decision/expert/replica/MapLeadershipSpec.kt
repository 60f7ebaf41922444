package io.kumquattrail.decision.expert.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun process(number: Int) = ProcessName("gateway-$number")

/** Plays gateways that all see each other, on virtual time. */
private class Leaders(
    count: Int,
) {
    val leaderships = (1..count).associate { process(it) to MapLeadership(process(it)) }.toMutableMap()
    val ready = leaderships.keys.toMutableSet()
    var now = MonotonicTime.ZERO + 60.seconds

    fun play(rounds: Int) =
        repeat(rounds) {
            val roles = leaderships.mapValues { it.value.role == MapRole.KEEPS }
            leaderships.forEach { (own, leadership) ->
                val peers = (ready - own).map { MapKeeperCandidate(it, roles.getValue(it)) }
                leadership.decide(own in ready, peers, now)
            }
            now += 50.milliseconds
        }

    fun keepers(): List<ProcessName> = leaderships.filterValues { it.role == MapRole.KEEPS }.keys.toList()
}

class MapLeadershipSpec :
    DescribeSpec({
        describe("gateways that start together") {
            it("agree on the one with the lowest name once they have met") {
                val leaders = Leaders(4).apply { play(20) }
                leaders.keepers() shouldBe listOf(process(1))
            }
        }

        describe("a restart of each gateway in turn") {
            it("moves the maps only when their keeper stops, as every move costs a survey") {
                val leaders = Leaders(4).apply { play(20) }
                var moves = 0
                (1..4).forEach { number ->
                    val before = leaders.keepers()
                    leaders.ready -= process(number)
                    leaders.play(30)
                    leaders.leaderships[process(number)] = MapLeadership(process(number))
                    leaders.ready += process(number)
                    leaders.play(30)
                    if (leaders.keepers() != before) moves += 1
                }
                // Gateway 1 hands over to 2, which hands over to 1; 3 and 4 never have them.
                moves shouldBe 2
                leaders.keepers().size shouldBe 1
            }
        }

        describe("a gateway with the lowest name that cannot serve yet, as the store is down when it starts") {
            it("does not take the maps from the one that keeps them") {
                val leaders = Leaders(3)
                leaders.ready -= process(1)
                leaders.play(40)
                leaders.keepers() shouldBe listOf(process(2))
                leaders.ready += process(1)
                leaders.play(40)
                leaders.keepers() shouldBe listOf(process(2))
            }
        }

        describe("a keeper that is lost, perhaps with the group held") {
            it("is followed at once by a gateway that has long met the others") {
                val leaders = Leaders(3).apply { play(40) }
                leaders.keepers() shouldBe listOf(process(1))
                leaders.leaderships.remove(process(1))
                leaders.ready -= process(1)
                leaders.play(2)
                leaders.keepers() shouldBe listOf(process(2))
            }
        }

        describe("two gateways that kept the maps without contact") {
            it("leave them to the lower name when they meet") {
                val first = MapLeadership(process(1))
                val second = MapLeadership(process(2))
                var now = MonotonicTime.ZERO + 60.seconds
                repeat(30) {
                    first.decide(isReady = true, peers = emptyList(), now = now)
                    second.decide(isReady = true, peers = emptyList(), now = now)
                    now += 50.milliseconds
                }
                second.role shouldBe MapRole.KEEPS
                first.decide(true, listOf(MapKeeperCandidate(process(2), keepsMaps = true)), now) shouldBe MapRole.KEEPS
                second.decide(true, listOf(MapKeeperCandidate(process(1), keepsMaps = true)), now) shouldBe
                    MapRole.FOLLOWS
            }
        }
    })
