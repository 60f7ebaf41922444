package io.kumquattrail.decision.timeline

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.time.WallTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

class HybridLogicalClockSpec :
    DescribeSpec({
        describe("timestamps") {
            it("rise when the wall clock stands still or goes back") {
                val clock = HybridLogicalClock()
                val walls = listOf(50L, 50L, 20L, 51L, 3L)
                val stamps = walls.map { clock.next(WallTime(it)) }
                stamps.zipWithNext().forEach { (before, after) -> after shouldBeGreaterThan before }
            }

            it("place an answer after its request when the answering VM's clock is behind") {
                val random = Random(3)
                val clocks = List(5) { HybridLogicalClock() }
                val skews = List(5) { random.nextLong(0, 30_000) }
                var message = clocks[0].next(WallTime(100_000 + skews[0]))
                repeat(2_000) { step ->
                    val receiver = random.nextInt(5)
                    val wall = WallTime(100_000 + step + skews[receiver])
                    clocks[receiver].observe(message, wall) shouldBe true
                    val next = clocks[receiver].next(wall)
                    next shouldBeGreaterThan message
                    message = next
                }
            }

            it("stay near wall time when one VM has a clock far in the future") {
                val clock = HybridLogicalClock(driftLimit = 1.minutes)
                clock.observe(HybridTimestamp(90_000_000, 0), WallTime(1_000)) shouldBe false
                clock.next(WallTime(1_000)) shouldBe HybridTimestamp(1_000, 0)
            }

            it("rise past the largest counter into the next millisecond") {
                val clock = HybridLogicalClock()
                clock.observe(HybridTimestamp(1_000, 65_535), WallTime(1_000))
                clock.next(WallTime(1_000)) shouldBe HybridTimestamp(1_001, 0)
                clock.next(WallTime(1_000)) shouldBeLessThan HybridTimestamp(1_001, 2)
            }
        }
    })
