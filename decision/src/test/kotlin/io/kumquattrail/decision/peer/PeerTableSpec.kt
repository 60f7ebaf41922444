package io.kumquattrail.decision.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val INTERVAL = 400.milliseconds

/** Simulates rounds of exchanges between gateways in virtual time; those in [stopped] neither send nor respond. */
private class ExchangeSimulation(
    size: Int,
    private val random: Random,
) {
    val names = List(size) { ProcessName("gateway-$it") }
    val tables = names.associateWith { PeerTable(self = it, seeds = names.take(6), interval = INTERVAL) }
    val stopped = HashSet<ProcessName>()
    var now = MonotonicTime.ZERO + 60.seconds
    var lostPeers = 0
    var maximumMessages = 0

    fun round() {
        val messages = HashMap<ProcessName, Int>()
        (names - stopped).forEach { name ->
            val table = tables.getValue(name)
            table.selectPeers(now, random).filterNot { it in stopped }.forEach { peer ->
                messages.merge(name, 1, Int::plus)
                val other = tables.getValue(peer)
                val members = table.alive(now) + name
                table.recordMessage(peer, other.alive(now) + peer, now)
                other.recordMessage(name, members, now)
            }
            lostPeers += table.removeLost(now).size
        }
        maximumMessages = maxOf(maximumMessages, messages.values.maxOrNull() ?: 0)
        now += INTERVAL
    }
}

class PeerTableSpec :
    DescribeSpec({
        listOf(5, 12, 80).forEach { size ->
            describe("a fleet of $size gateways without failures") {
                it("each of $size gateways finds all others, considers none lost and limits its messages in a round") {
                    val simulation = ExchangeSimulation(size, Random(size))
                    repeat(25) { simulation.round() }
                    simulation.lostPeers = 0
                    repeat(150) { simulation.round() }
                    simulation.lostPeers shouldBe 0
                    simulation.tables.values.minOf { it.alive(simulation.now).size } shouldBe size - 1
                    simulation.maximumMessages shouldBeLessThanOrEqual 6
                }
            }
        }

        describe("a fleet of twelve gateways that loses seven, among them most seeds") {
            it(
                "five gateways that remain of twelve consider each other alive, as stopped peers take no live one's place",
            ) {
                val simulation = ExchangeSimulation(12, Random(3))
                repeat(25) { simulation.round() }
                simulation.stopped += simulation.names.take(5) + simulation.names.takeLast(2)
                repeat(10) { simulation.round() }
                simulation.lostPeers = 0
                repeat(50) { simulation.round() }
                simulation.lostPeers shouldBe 0
                (simulation.names - simulation.stopped).forEach { name ->
                    simulation.tables.getValue(name).alive(simulation.now) shouldHaveSize 4
                }
            }

            it("a fleet of twelve gateways finds seven stopped ones again within two seconds after their return") {
                val simulation = ExchangeSimulation(12, Random(4))
                repeat(25) { simulation.round() }
                simulation.stopped += simulation.names.take(5) + simulation.names.takeLast(2)
                repeat(40) { simulation.round() }
                simulation.stopped.clear()
                repeat(5) { simulation.round() }
                simulation.tables.values.minOf { it.alive(simulation.now).size } shouldBe 11
            }
        }
    })
