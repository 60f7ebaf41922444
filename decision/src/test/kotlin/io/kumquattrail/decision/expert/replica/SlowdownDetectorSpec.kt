package io.kumquattrail.decision.expert.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val TOLERATED = 75.milliseconds

/** Records pauses of equal length in a [SlowdownDetector], in virtual time. */
private class PauseRecorder {
    val detector = SlowdownDetector()
    var now = MonotonicTime.ZERO + 60.seconds

    fun record(pause: Duration) =
        repeat(20) {
            now += 20.milliseconds
            detector.recordPause(pause, now)
        }

    fun hasSlowed() = detector.hasSlowed(TOLERATED, now)
}

class SlowdownDetectorSpec :
    DescribeSpec({
        val start = MonotonicTime.ZERO

        fun SlowdownDetector.recordPauses(
            from: Int,
            until: Int,
            pause: Int,
        ) {
            for (at in from until until step 10) recordPause(pause.milliseconds, start + at.milliseconds)
        }

        describe("a process that becomes map leader while the group is slow") {
            it("a group that is slow from the start is detected again after a map change that did not help enough") {
                val recorder = PauseRecorder()
                recorder.record(180.milliseconds)
                recorder.hasSlowed() shouldBe true
                recorder.detector.onMapChanged(recorder.now)
                recorder.record(160.milliseconds)
                recorder.hasSlowed() shouldBe true
            }

            it("a slow group whose map needs no change is not detected again while its pass time stays the same") {
                val recorder = PauseRecorder()
                recorder.record(180.milliseconds)
                recorder.hasSlowed() shouldBe true
                recorder.detector.useCurrentAsReference(recorder.now)
                recorder.record(180.milliseconds)
                recorder.hasSlowed() shouldBe false
            }
        }

        describe("a group whose passes get longer") {
            it("a group whose passes get longer is detected within a quarter of a second") {
                val detector = SlowdownDetector()
                detector.recordPauses(from = 0, until = 1_000, pause = 40)
                detector.hasSlowed(tolerated = 60.milliseconds, now = start + 1.seconds) shouldBe false
                detector.recordPauses(from = 1_000, until = 1_250, pause = 100)
                detector.hasSlowed(tolerated = 60.milliseconds, now = start + 1_250.milliseconds) shouldBe true
            }

            it("a group whose passes got longer during a map change is detected") {
                val detector = SlowdownDetector()
                detector.recordPauses(from = 0, until = 1_000, pause = 40)
                detector.hasSlowed(tolerated = 60.milliseconds, now = start + 1.seconds)
                detector.onMapChanged(start + 1.seconds)
                detector.recordPauses(from = 1_000, until = 1_300, pause = 100)
                detector.hasSlowed(tolerated = 60.milliseconds, now = start + 1_300.milliseconds) shouldBe true
            }

            it("pauses exceed the tolerance only if they are longer, so a fast group gets no costly regular checks") {
                val detector = SlowdownDetector()
                detector.recordPauses(from = 0, until = 1_000, pause = 70)
                detector.isSlowerThan(tolerated = 78.milliseconds, now = start + 1.seconds) shouldBe false
                detector.recordPauses(from = 1_000, until = 1_300, pause = 90)
                detector.isSlowerThan(tolerated = 78.milliseconds, now = start + 1_300.milliseconds) shouldBe true
            }

            it("a group whose passes get longer is not detected while its pauses are within the tolerance") {
                val detector = SlowdownDetector()
                detector.recordPauses(from = 0, until = 1_000, pause = 20)
                detector.hasSlowed(tolerated = 60.milliseconds, now = start + 1.seconds)
                detector.recordPauses(from = 1_000, until = 1_300, pause = 50)
                detector.hasSlowed(tolerated = 60.milliseconds, now = start + 1_300.milliseconds) shouldBe false
            }
        }
    })
