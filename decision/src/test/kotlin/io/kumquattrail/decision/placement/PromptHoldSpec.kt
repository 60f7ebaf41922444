package io.kumquattrail.decision.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMIT = 120.milliseconds
private val TARGET = 500.milliseconds
private val SPARE = 250.milliseconds

private fun lateShare(hold: PromptHold?): Double {
    val passes = GroupPasses(Random(1), hold = hold)
    passes.play(time = 120.seconds, shiftEvery = 4.seconds)
    return passes.lateShare(LIMIT, TARGET)
}

/** Observes two seconds of usual pauses and returns the time after them. */
private fun PromptHold.observeUsualPauses(): MonotonicTime {
    var now = MonotonicTime.ZERO + 60.seconds
    repeat(100) {
        now += 20.milliseconds
        observed(50.milliseconds, tolerated = 60.milliseconds, now = now)
    }
    return now
}

class PromptHoldSpec :
    DescribeSpec({
        describe("prompts at the peak load while popularity shifts every four seconds") {
            it("make fewer streams late when they wait for the new map than when they are sent at once") {
                lateShare(PromptHold()) shouldBeLessThan lateShare(hold = null) * 2 / 3
            }
        }

        describe("a group that is slow for longer than a map takes to follow") {
            it("gets its prompts after that time, as waiting no longer helps them") {
                val hold = PromptHold()
                var now = hold.observeUsualPauses()
                repeat(40) {
                    now += 20.milliseconds
                    hold.observed(150.milliseconds, tolerated = 60.milliseconds, now = now)
                }
                hold.holdFor(arrived = now, now = now, spare = SPARE, spread = 1.0) shouldBe Duration.ZERO
            }
        }

        describe("a prompt that arrives in a slow phase") {
            it("waits no longer than it can spare of its latency target") {
                val hold = PromptHold()
                val now = hold.observeUsualPauses()
                repeat(5) { hold.observed(150.milliseconds, tolerated = 60.milliseconds, now = now) }
                hold.holdFor(arrived = now, now = now, spare = SPARE, spread = 1.0) shouldBe SPARE
                hold.holdFor(arrived = now, now = now + SPARE, spare = SPARE, spread = 1.0) shouldBe Duration.ZERO
            }
        }
    })
