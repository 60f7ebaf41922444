package io.kumquattrail.decision.expert.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName

private fun state(
    group: String,
    rank: Int,
    epoch: Long = 1,
    isOpen: Boolean = true,
    size: Int = 2,
) = RankState(
    server = ServerName("$group-$rank-$epoch"),
    group = GroupName(group),
    epoch = epoch,
    rank = rank,
    size = size,
    isOpen = isOpen,
    pass = 6,
    mapVersion = 0,
)

private fun completeGroups(states: List<RankState>) =
    GroupFormation.of(states).filter { it.isComplete }.map { it.group.value }

class GroupFormationSpec :
    DescribeSpec({
        describe("ranks of two groups that report together") {
            it("reports of two groups form two complete groups with their ranks in order") {
                val formations = GroupFormation.of(listOf(state("b", 1), state("a", 0), state("b", 0), state("a", 1)))
                formations.associate { it.group.value to it.ranks.map { rank -> rank.server.value } } shouldBe
                    mapOf("a" to listOf("a-0-1", "a-1-1"), "b" to listOf("b-0-1", "b-1-1"))
                formations.all { it.isComplete } shouldBe true
            }

            it("a group that lacks a rank does not affect the completeness of another group") {
                completeGroups(listOf(state("a", 0), state("b", 0), state("b", 1))) shouldContainExactly listOf("b")
            }

            it("two groups at different epochs are both complete, as each is compared with its own latest epoch") {
                val states = listOf(state("a", 0), state("a", 1), state("b", 0, epoch = 5), state("b", 1, epoch = 5))
                completeGroups(states) shouldContainExactly listOf("a", "b")
            }
        }

        describe("a rank that reports an excessive size of its group") {
            // The size comes from the server; memory in proportion to it would end the process.
            it("makes its group incomplete and leaves the other groups complete") {
                val states = listOf(state("a", 0, size = Int.MAX_VALUE), state("b", 0), state("b", 1))
                completeGroups(states) shouldContainExactly listOf("b")
            }
        }

        describe("a group with a new formation") {
            it("a group is incomplete if one of its ranks still reports the previous formation") {
                val states = listOf(state("a", 0, epoch = 2), state("a", 0), state("a", 1))
                completeGroups(states).shouldBeEmpty()
            }

            it("a group is incomplete while one of its ranks is not open") {
                completeGroups(listOf(state("a", 0), state("a", 1, isOpen = false))).shouldBeEmpty()
            }
        }
    })
