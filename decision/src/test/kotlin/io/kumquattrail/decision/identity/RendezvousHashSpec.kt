package io.kumquattrail.decision.identity

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.math.abs

private fun ownerOf(
    key: String,
    candidates: List<String>,
): String? = RendezvousHash.owner(key, candidates) { it }

class RendezvousHashSpec :
    DescribeSpec({
        val servers = (1..8).map { "server-$it" }
        val keys = (1..8_000).map { "key-$it" }

        describe("the owner of a key") {
            it("the owner of a key does not depend on the order of the candidates, which differs between processes") {
                val reversed = servers.reversed()
                keys
                    .filter { key -> ownerOf(key, servers) != ownerOf(key, reversed) }
                    .shouldBeEmpty()
            }

            it("removing a candidate moves only the keys that it owned") {
                val remaining = servers - "server-3"
                keys
                    .filter { key ->
                        val before = ownerOf(key, servers)
                        before != "server-3" && before != ownerOf(key, remaining)
                    }.shouldBeEmpty()
            }

            it("keys are distributed evenly, so that no candidate becomes a hot spot") {
                val counts = keys.groupingBy { key -> ownerOf(key, servers) }.eachCount()
                counts.values.maxOf { abs(it - 1_000) / 1_000.0 } shouldBeLessThan 0.15
            }

            it("the owner of a key is the first in the ranking of the candidates") {
                RendezvousHash.rank("key", servers) { it }.first() shouldBe ownerOf("key", servers)
            }
        }
    })
