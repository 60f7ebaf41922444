package io.kumquattrail.decision.limit

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

private fun run(
    shedder: LoadShedder,
    steps: IntRange,
    queued: Int,
): Map<Int, Int> {
    val admitted = HashMap<Int, Int>()
    for (step in steps) {
        val now = MonotonicTime.ZERO + 10.milliseconds * step
        shedder.observe(ServerName("server"), ServerLoad(queued, concurrencyLimit = 10), now)
        for (priority in 0..1) {
            if (shedder.admit(priority, 100, now) == ShedDecision.Admitted) admitted.merge(priority, 1, Int::plus)
        }
    }
    return admitted
}

class LoadShedderSpec :
    DescribeSpec({
        describe("load shedding") {
            it("refuses the lower priority and never the highest, which the fair queues divide better") {
                val admitted = run(LoadShedder(), 0 until 6_000, queued = 30)
                admitted.getValue(1) shouldBe 6_000
                admitted.getValue(0).toDouble() shouldBeLessThan 4_500.0
            }

            it("leaves lower priorities their kept share, or overload would starve them before any queue sees them") {
                val shedder = LoadShedder()
                run(shedder, 0 until 6_000, queued = 30)
                run(shedder, 6_000 until 7_000, queued = 30).getValue(0).toDouble() shouldBeGreaterThan 500.0
            }

            it("stays as it is between the thresholds, or it would swing with every report") {
                val shedder = LoadShedder()
                run(shedder, 0 until 500, queued = 30)
                val share = shedder.shedShare
                run(shedder, 500 until 1_500, queued = 5)
                shedder.shedShare shouldBe share
                run(shedder, 1_500 until 4_000, queued = 0)
                shedder.shedShare shouldBe 0.0
            }
        }
    })
