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

private fun lateFraction(delay: PromptDelay?): Double {
    val simulation = GroupPassSimulation(Random(1), promptDelay = delay)
    simulation.simulate(time = 120.seconds, shiftEvery = 4.seconds)
    return simulation.lateFraction(LIMIT, TARGET)
}

/** Records two seconds of ordinary pauses and returns the time of the last. */
private fun PromptDelay.recordOrdinaryPauses(): MonotonicTime {
    var now = MonotonicTime.ZERO + 60.seconds
    repeat(100) {
        now += 20.milliseconds
        recordPause(50.milliseconds, toleratedPause = 60.milliseconds, now = now)
    }
    return now
}

class PromptDelaySpec :
    DescribeSpec({
        describe("prompts at the peak load while popularity shifts every four seconds") {
            it("prompts that wait for the new expert map make fewer streams late than prompts that are sent at once") {
                lateFraction(PromptDelay()) shouldBeLessThan lateFraction(delay = null) * 2 / 3
            }
        }

        describe("a group that is slow for longer than an expert map takes to follow a shift") {
            it("prompts are no longer delayed once a new expert map would be in use, as waiting does not help") {
                val delay = PromptDelay()
                var now = delay.recordOrdinaryPauses()
                repeat(40) {
                    now += 20.milliseconds
                    delay.recordPause(150.milliseconds, toleratedPause = 60.milliseconds, now = now)
                }
                delay.remainingDelay(arrived = now, now = now, spare = SPARE, jitter = 1.0) shouldBe Duration.ZERO
            }
        }

        describe("a prompt that arrives in a slow phase") {
            it("a prompt is delayed by no more than the spare part of its latency target") {
                val delay = PromptDelay()
                val now = delay.recordOrdinaryPauses()
                repeat(5) { delay.recordPause(150.milliseconds, toleratedPause = 60.milliseconds, now = now) }
                delay.remainingDelay(arrived = now, now = now, spare = SPARE, jitter = 1.0) shouldBe SPARE
                delay.remainingDelay(arrived = now, now = now + SPARE, spare = SPARE, jitter = 1.0) shouldBe
                    Duration.ZERO
            }
        }
    })
