package io.kumquattrail.decision.delivery

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamPatienceSpec :
    DescribeSpec({
        describe("a stream") {
            it("of a fast server counts as stalled soon enough for its caller to stay") {
                val patience = StreamPatience()
                repeat(10) { patience.observed(50.milliseconds) }
                patience.limit shouldBe 1.seconds
            }

            it("of a slow but sound server is given a multiple of its own pauses") {
                val patience = StreamPatience()
                listOf(300, 700, 500, 900).forEach { patience.observed(it.milliseconds) }
                patience.limit shouldBeGreaterThan 2.seconds
            }
        }
    })
