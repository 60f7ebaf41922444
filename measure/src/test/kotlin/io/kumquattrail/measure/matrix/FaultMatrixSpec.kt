package io.kumquattrail.measure.matrix

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

private const val SEED = 1L

class FaultMatrixSpec :
    DescribeSpec({
        FaultMatrix.singles.groupBy { it.scenario }.forEach { (scenario, cells) ->
            describe("${scenario.protocol} keeps ${scenario.guarantees}") {
                cells.filter { cell -> cell.faults.all { scenario.emptyReason(it) == null } }.forEach { cell ->
                    it("when ${cell.faults.single().label} hits ${cell.step}") {
                        val outcome = cell.run(SEED, runs = 1)
                        (outcome as? CellOutcome.Failed)?.violations.orEmpty().shouldBeEmpty()
                    }
                }
            }
        }
    })
