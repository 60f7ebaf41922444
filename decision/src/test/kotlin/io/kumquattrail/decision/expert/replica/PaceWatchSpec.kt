package io.kumquattrail.decision.expert.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val TOLERATED = 75.milliseconds

private class Pauses {
    val watch = PaceWatch()
    var now = MonotonicTime.ZERO + 60.seconds

    fun at(pause: Duration) =
        repeat(20) {
            now += 20.milliseconds
            watch.observed(pause, now)
        }

    fun hasSlowed() = watch.hasSlowed(TOLERATED, now)
}

class PaceWatchSpec :
    DescribeSpec({
        val start = MonotonicTime.ZERO

        fun PaceWatch.write(
            from: Int,
            until: Int,
            pause: Int,
        ) {
            for (at in from until until step 10) observed(pause.milliseconds, start + at.milliseconds)
        }

        describe("a process that begins to keep the maps while the group is slow") {
            it("does not take that pace for the usual one, so it looks again after a change that did not help enough") {
                val pauses = Pauses()
                pauses.at(180.milliseconds)
                pauses.hasSlowed() shouldBe true
                pauses.watch.changed(pauses.now)
                pauses.at(160.milliseconds)
                pauses.hasSlowed() shouldBe true
            }

            it("leaves the group alone once it was found in order, however slow the load makes it") {
                val pauses = Pauses()
                pauses.at(180.milliseconds)
                pauses.hasSlowed() shouldBe true
                pauses.watch.foundInOrder(pauses.now)
                pauses.at(180.milliseconds)
                pauses.hasSlowed() shouldBe false
            }
        }

        describe("a group whose passes get longer") {
            it("is noticed within a quarter of a second") {
                val watch = PaceWatch()
                watch.write(from = 0, until = 1_000, pause = 40)
                watch.hasSlowed(tolerated = 60.milliseconds, now = start + 1.seconds) shouldBe false
                watch.write(from = 1_000, until = 1_250, pause = 100)
                watch.hasSlowed(tolerated = 60.milliseconds, now = start + 1_250.milliseconds) shouldBe true
            }

            it("is noticed when the shift came while the map was changed") {
                val watch = PaceWatch()
                watch.write(from = 0, until = 1_000, pause = 40)
                watch.hasSlowed(tolerated = 60.milliseconds, now = start + 1.seconds)
                watch.changed(start + 1.seconds)
                watch.write(from = 1_000, until = 1_300, pause = 100)
                watch.hasSlowed(tolerated = 60.milliseconds, now = start + 1_300.milliseconds) shouldBe true
            }

            it("gives no reason for a regular look while callers lose nothing, as every look has a price") {
                val watch = PaceWatch()
                watch.write(from = 0, until = 1_000, pause = 70)
                watch.exceeds(tolerated = 78.milliseconds, now = start + 1.seconds) shouldBe false
                watch.write(from = 1_000, until = 1_300, pause = 90)
                watch.exceeds(tolerated = 78.milliseconds, now = start + 1_300.milliseconds) shouldBe true
            }

            it("is left alone while its pauses are well within what callers need") {
                val watch = PaceWatch()
                watch.write(from = 0, until = 1_000, pause = 20)
                watch.hasSlowed(tolerated = 60.milliseconds, now = start + 1.seconds)
                watch.write(from = 1_000, until = 1_300, pause = 50)
                watch.hasSlowed(tolerated = 60.milliseconds, now = start + 1_300.milliseconds) shouldBe false
            }
        }
    })
