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

/** Plays rounds of exchanges between gateways on virtual time; those in [dead] neither ask nor answer. */
private class Exchanges(
    size: Int,
    private val random: Random,
) {
    val names = List(size) { ProcessName("gateway-$it") }
    val tables = names.associateWith { PeerTable(own = it, seeds = names.take(6), interval = INTERVAL) }
    val dead = HashSet<ProcessName>()
    var now = MonotonicTime.ZERO + 60.seconds
    var lost = 0
    var mostMessages = 0

    fun round() {
        val messages = HashMap<ProcessName, Int>()
        (names - dead).forEach { name ->
            val table = tables.getValue(name)
            table.partners(now, random).filterNot { it in dead }.forEach { peer ->
                messages.merge(name, 1, Int::plus)
                val other = tables.getValue(peer)
                val members = table.alive(now) + name
                table.heard(peer, other.alive(now) + peer, now)
                other.heard(name, members, now)
            }
            lost += table.removeLost(now).size
        }
        mostMessages = maxOf(mostMessages, messages.values.maxOrNull() ?: 0)
        now += INTERVAL
    }
}

class PeerTableSpec :
    DescribeSpec({
        listOf(5, 12, 80).forEach { size ->
            describe("a calm fleet of $size gateways") {
                it("knows all of its members after a while, takes none for gone, and bounds the messages of a round") {
                    val exchanges = Exchanges(size, Random(size))
                    repeat(25) { exchanges.round() }
                    exchanges.lost = 0
                    repeat(150) { exchanges.round() }
                    exchanges.lost shouldBe 0
                    exchanges.tables.values.minOf { it.alive(exchanges.now).size } shouldBe size - 1
                    exchanges.mostMessages shouldBeLessThanOrEqual 6
                }
            }
        }

        describe("a fleet of twelve that loses seven gateways, among them most seeds") {
            it("keeps the five others in touch, as dead peers must not use up the rounds") {
                val exchanges = Exchanges(12, Random(3))
                repeat(25) { exchanges.round() }
                exchanges.dead += exchanges.names.take(5) + exchanges.names.takeLast(2)
                repeat(10) { exchanges.round() }
                exchanges.lost = 0
                repeat(50) { exchanges.round() }
                exchanges.lost shouldBe 0
                (exchanges.names - exchanges.dead).forEach { name ->
                    exchanges.tables.getValue(name).alive(exchanges.now) shouldHaveSize 4
                }
            }

            it("finds them again within two seconds of their return") {
                val exchanges = Exchanges(12, Random(4))
                repeat(25) { exchanges.round() }
                exchanges.dead += exchanges.names.take(5) + exchanges.names.takeLast(2)
                repeat(40) { exchanges.round() }
                exchanges.dead.clear()
                repeat(5) { exchanges.round() }
                exchanges.tables.values.minOf { it.alive(exchanges.now).size } shouldBe 11
            }
        }
    })
