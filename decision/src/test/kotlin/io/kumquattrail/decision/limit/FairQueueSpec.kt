package io.kumquattrail.decision.limit

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.admission.QueueDecision
import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime.ZERO
private var nextId = 0

private fun item(
    organisation: String,
    tokens: Int = 100,
    weight: Int = 1,
    priority: Int = 0,
    deadline: MonotonicTime = START + 3_600.seconds,
) = WorkItem(
    id = WorkId("request-${nextId++}", 1),
    organisation = OrganisationName(organisation),
    cost = TokenCost(tokens, 0),
    deadline = deadline,
    organisationWeight = weight,
    priority = priority,
)

/** Offers [arrivals] every 10 ms and serves 10,000 tokens a second; returns the tokens that each organisation got. */
private fun serve(
    queue: FairQueue,
    steps: Int,
    arrivals: (Int, MonotonicTime) -> List<WorkItem>,
): Map<String, Int> {
    val served = HashMap<String, Int>()
    repeat(steps) { step ->
        val now = START + 10.milliseconds * step
        arrivals(step, now).forEach { queue.offer(it, now) }
        queue.poll(now)?.let { served.merge(it.organisation.value, it.cost.total, Int::plus) }
        queue.removeExpired(now)
    }
    return served
}

class FairQueueSpec :
    DescribeSpec({
        describe("shares") {
            it("follow the weights in tokens, or an organisation with long requests gets more than its share") {
                val served =
                    serve(FairQueue(), 4_000) { _, _ ->
                        listOf(item("long", tokens = 400), item("short", tokens = 50), item("heavy", weight = 2))
                    }
                val total = served.values.sum().toDouble()
                (served.getValue("long") / total).shouldBeBetween(0.2, 0.3, 0.0)
                (served.getValue("short") / total).shouldBeBetween(0.2, 0.3, 0.0)
                (served.getValue("heavy") / total).shouldBeBetween(0.45, 0.55, 0.0)
            }

            it("hold against a stream of new organisations, which would keep a busy one waiting for ever") {
                val served =
                    serve(FairQueue(), 4_000) { step, _ ->
                        listOf(item("steady"), item("passing-${step % 3_000}"), item("other-${step % 3_000}"))
                    }
                // About 150 organisations wait at once, so an equal share of the 400,000 tokens is 2,667.
                served.getValue("steady") shouldBeGreaterThan 2_000
            }

            it("keep the reserved tokens for lower priorities, which strict priority would starve") {
                val served =
                    serve(FairQueue(), 4_000) { _, _ ->
                        listOf(item("low"), item("high", priority = 5), item("high", priority = 5))
                    }
                (served.getValue("low") / served.values.sum().toDouble()).shouldBeBetween(0.08, 0.12, 0.0)
            }
        }

        describe("a full queue") {
            val settings = FairQueueSettings(mostItems = 20, initialTokensPerSecond = 1e6)

            it("sheds the lowest priority first, or overload would hit the most important work") {
                val queue = FairQueue(settings)
                val low = List(20) { item("low-$it") }
                low.forEach { queue.offer(it, START) }
                val decision = queue.offer(item("high", priority = 1), START)
                decision
                    .shouldBeInstanceOf<QueueDecision.Accepted>()
                    .shed
                    .single()
                    .priority shouldBe 0
            }

            it("sheds the organisation furthest over its share, or one caller could take every place") {
                val queue = FairQueue(settings)
                repeat(5) { queue.offer(item("modest-$it"), START) }
                repeat(15) { queue.offer(item("greedy"), START) }
                val decision = queue.offer(item("newcomer"), START)
                decision
                    .shouldBeInstanceOf<QueueDecision.Accepted>()
                    .shed
                    .single()
                    .organisation.value shouldBe "greedy"
                queue.offer(item("greedy"), START).shouldBeInstanceOf<QueueDecision.Rejected>()
                queue.size shouldBe 20
            }
        }

        describe("waiting time") {
            val slow = FairQueueSettings(initialTokensPerSecond = 1_000.0, longestWait = 60.seconds)

            it("is estimated, so that work which cannot start before its deadline is rejected at once") {
                val queue = FairQueue(slow)
                repeat(20) { queue.offer(item("busy"), START) }
                val late = queue.offer(item("busy", deadline = START + 1.seconds), START)
                late.shouldBeInstanceOf<QueueDecision.Rejected>().retryAfter shouldBeGreaterThan 1_500.milliseconds
            }

            it("names a longer retry-after behind a longer queue, or callers return while it is still full") {
                val retries =
                    listOf(20, 50).map { waiting ->
                        val queue = FairQueue(slow)
                        repeat(waiting) { queue.offer(item("busy"), START) }
                        queue.offer(item("busy", deadline = START + 1.seconds), START) as QueueDecision.Rejected
                    }
                retries[1].retryAfter shouldBeGreaterThan retries[0].retryAfter
            }

            it("follows the measured drain rate, or a slower server would be sent more than it can serve in time") {
                val queue = FairQueue(FairQueueSettings(initialTokensPerSecond = 1e6, longestWait = 60.seconds))
                serve(queue, 3_000) { _, _ -> List(2) { item("busy", deadline = START + 60.seconds) } }
                queue.tokensPerSecond.shouldBeBetween(9_000.0, 11_000.0, 0.0)
            }
        }

        describe("expired work") {
            it("is never polled and is returned once, or it runs for a caller that has gone") {
                val queue = FairQueue()
                val expiring = item("a", deadline = START + 1.seconds)
                val lasting = item("a")
                listOf(expiring, lasting).forEach { queue.offer(it, START) }
                val later = START + 2.seconds
                queue.peek(later) shouldBe lasting
                queue.poll(later) shouldBe lasting
                queue.size shouldBe 1
                queue.removeExpired(later) shouldContainExactly listOf(expiring)
                queue.size shouldBe 0
            }
        }

        describe("state") {
            it("is kept for waiting organisations only, or 5,000 organisations would fill the agent's memory") {
                val queue = FairQueue()
                serve(queue, 5_000) { step, _ -> listOf(item("organisation-$step"), item("busy")) }
                queue.organisations shouldBeLessThanOrEqual 2 * FairQueueSettings().mostItems
                queue.drain()
                queue.organisations shouldBe 0
                queue.tokens shouldBe 0
            }
        }
    })
