package io.kumquattrail.decision.delivery

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamStallTimeoutSpec :
    DescribeSpec({
        describe("a stream") {
            it("a stream of a fast server is considered stalled after one second") {
                val stallTimeout = StreamStallTimeout()
                repeat(10) { stallTimeout.recordPause(50.milliseconds) }
                stallTimeout.limit shouldBe 1.seconds
            }

            it("a stream of a slow but healthy server may pause for a multiple of its own pauses") {
                val stallTimeout = StreamStallTimeout()
                listOf(300, 700, 500, 900).forEach { stallTimeout.recordPause(it.milliseconds) }
                stallTimeout.limit shouldBeGreaterThan 2.seconds
            }
        }
    })
