package io.kumquattrail.decision.expert.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

private fun bound(
    slots: Int,
    speeds: DoubleArray,
    vararg tokens: Double,
): Double = LowerBound.maximumLoad(tokens, slots, speeds)

class LowerBoundSpec :
    DescribeSpec({
        val two = doubleArrayOf(1.0, 1.0)

        describe("the lower bound") {
            it("is the mean load when shares can even out everything") {
                bound(slots = 4, two, 30.0, 10.0) shouldBe (20.0 plusOrMinus 1e-9)
            }

            it("counts the slots, without which a hot expert could be spread over ranks that have no room for it") {
                bound(slots = 2, two, 30.0, 10.0) shouldBe (30.0 plusOrMinus 1e-6)
            }

            it("takes the speeds of the ranks into account") {
                bound(slots = 4, doubleArrayOf(1.0, 0.5), 20.0, 10.0) shouldBe (20.0 plusOrMinus 1e-9)
            }
        }
    })
