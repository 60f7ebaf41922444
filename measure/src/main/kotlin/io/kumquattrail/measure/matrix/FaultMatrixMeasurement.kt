package io.kumquattrail.measure.matrix

import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import java.util.stream.Collectors

/** Runs every fault, and every pair of faults, at every step of every protocol and counts the cells that fail. */
object FaultMatrixMeasurement : Measurement {
    override val name = "fault-matrix"
    override val summary = "Runs every fault and pair of faults at every step of every protocol."

    /** Seeds for each cell with one fault; pairs have one each. */
    internal const val RUNS_PER_SINGLE = 3

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val outcomes = outcomes(options)
        val failed = outcomes.filter { it.second is CellOutcome.Failed }
        return mapOf(
            "seed" to options.seed,
            "cells" to outcomes.size,
            "passed" to outcomes.count { it.second == CellOutcome.Passed },
            "failed" to failed.size,
            "empty" to outcomes.count { it.second is CellOutcome.Empty },
            "targets_met" to failed.isEmpty(),
            "protocols" to protocolRows(outcomes),
            "results" to failed.map { (cell, outcome) -> failedRow(cell, outcome as CellOutcome.Failed) },
        )
    }

    /** Runs all cells; the result does not depend on how they are spread over the cores. */
    internal fun outcomes(options: MeasurementOptions): List<Pair<MatrixCell, CellOutcome>> {
        val cells = FaultMatrix.singles.map { it to RUNS_PER_SINGLE } + FaultMatrix.pairs.map { it to 1 }
        return cells
            .parallelStream()
            .map { (cell, runs) -> cell to cell.run(options.seed, runs) }
            .collect(Collectors.toList())
    }

    /** Returns for each protocol the counts, and for each fault why its cells are empty. */
    private fun protocolRows(outcomes: List<Pair<MatrixCell, CellOutcome>>): List<Map<String, Any?>> =
        outcomes.groupBy { it.first.scenario }.map { (scenario, cells) ->
            mapOf(
                "protocol" to scenario.protocol,
                "asserts" to scenario.guarantees,
                "steps" to scenario.steps,
                "passed" to cells.count { it.second == CellOutcome.Passed },
                "failed" to cells.count { it.second is CellOutcome.Failed },
                "empty" to cells.count { it.second is CellOutcome.Empty },
                "empty_reasons" to
                    MatrixFault.entries
                        .mapNotNull { fault -> scenario.emptyReason(fault)?.let { fault.label to it } }
                        .toMap(),
            )
        }

    private fun failedRow(
        cell: MatrixCell,
        outcome: CellOutcome.Failed,
    ): Map<String, Any?> =
        mapOf(
            "protocol" to cell.scenario.protocol,
            "step" to cell.step,
            "faults" to cell.faults.joinToString("+") { it.label },
            "run_seed" to outcome.seed,
            "violations" to outcome.violations,
        )
}
