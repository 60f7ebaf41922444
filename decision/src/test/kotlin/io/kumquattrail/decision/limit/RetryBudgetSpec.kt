package io.kumquattrail.decision.limit

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryBudgetSpec :
    DescribeSpec({
        describe("the retries of a gateway") {
            it("stay at a tenth of fresh requests when everything fails, or retries keep an overload going") {
                val budget = RetryBudget()
                val retries =
                    (0 until 1_000).sumOf { step ->
                        val now = MonotonicTime.ZERO + 10.milliseconds * step
                        budget.recordFresh(now)
                        (1..3).count { budget.tryRetry(now) }
                    }
                retries shouldBe 100
            }

            it("are not saved up beyond the window, or a quiet hour would pay for a storm") {
                val budget = RetryBudget()
                repeat(1_000) { budget.recordFresh(MonotonicTime.ZERO) }
                val later = MonotonicTime.ZERO + 11.seconds
                (1..10).count { budget.tryRetry(later) } shouldBe 1
            }
        }
    })
