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
        val equalSpeeds = doubleArrayOf(1.0, 1.0)

        describe("the lower bound") {
            it("the lower bound is the mean load if shares can balance all ranks") {
                bound(slots = 4, equalSpeeds, 30.0, 10.0) shouldBe (20.0 plusOrMinus 1e-9)
            }

            it("the lower bound counts the slots, without which a hot expert cannot be spread over more ranks") {
                bound(slots = 2, equalSpeeds, 30.0, 10.0) shouldBe (30.0 plusOrMinus 1e-6)
            }

            it("the lower bound takes the speeds of the ranks into account") {
                bound(slots = 4, doubleArrayOf(1.0, 0.5), 20.0, 10.0) shouldBe (20.0 plusOrMinus 1e-9)
            }
        }
    })
