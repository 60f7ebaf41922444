package io.kumquattrail.measure.matrix

/** Identifies a cell of the fault matrix: the first of [faults] occurs at [step] of the protocol of [scenario]. */
internal class MatrixCell(
    val scenario: ProtocolScenario,
    val step: String,
    val faults: List<MatrixFault>,
) {
    val label: String get() = "${scenario.protocol}/$step/${faults.joinToString("+") { it.label }}"

    /** Runs the cell with [runs] seeds derived from [seed]. */
    fun run(
        seed: Long,
        runs: Int,
    ): CellOutcome {
        faults.firstNotNullOfOrNull(scenario::emptyReason)?.let { return CellOutcome.Empty(it) }
        repeat(runs) { index ->
            // Each cell has its own seed, so its result depends neither on other cells nor on their order.
            val runSeed = (seed * SEED_STRIDE + label.hashCode()) * SEED_STRIDE + index
            val violations = scenario.run(step, faults, runSeed)
            if (violations.isNotEmpty()) return CellOutcome.Failed(runSeed, violations)
        }
        return CellOutcome.Passed
    }

    private companion object {
        const val SEED_STRIDE = 1_000_003L
    }
}

/** Says how a cell ended. */
internal sealed interface CellOutcome {
    /** All runs kept the guarantees. */
    data object Passed : CellOutcome

    /** The run with [seed] violated guarantees. */
    data class Failed(
        val seed: Long,
        val violations: List<String>,
    ) : CellOutcome

    /** The fault makes no sense in the protocol. */
    data class Empty(
        val reason: String,
    ) : CellOutcome
}
