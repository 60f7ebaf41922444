package io.kumquattrail.decision.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private fun item(
    name: String,
    priority: Int,
) = WorkItem(
    id = WorkId(name, 0),
    organisation = OrganisationName("agency"),
    cost = TokenCost(10, 10),
    deadline = MonotonicTime.ZERO + 10.seconds,
    priority = priority,
)

class PriorityWorkQueueSpec :
    DescribeSpec({
        val now = MonotonicTime.ZERO

        describe("a full queue") {
            it("sheds the last item of the lowest priority and rejects work that is no more important") {
                val queue = PriorityWorkQueue(maximumItems = 3)
                listOf(item("a", 0), item("b", 0), item("c", 1)).forEach { queue.offer(it, now) }
                queue.offer(item("d", 0), now) shouldBe QueueDecision.Rejected(1.seconds)
                queue.offer(item("e", 1), now) shouldBe QueueDecision.Accepted(listOf(item("b", 0)))
                List(3) { queue.poll(now)?.id?.requestId } shouldBe listOf("c", "e", "a")
                queue.tokens shouldBe 0
            }
        }
    })
