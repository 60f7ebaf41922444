package io.kumquattrail.measure.matrix

/** Lists the cells of the fault matrix. */
internal object FaultMatrix {
    val scenarios: List<ProtocolScenario> =
        ServingScenario.all + listOf(UnrepeatableCallScenario, MapChangeScenario, ConfigurationScenario)

    /** Cells with one fault. */
    val singles: List<MatrixCell>
        get() = cells(MatrixFault.entries.map { listOf(it) })

    /** Cells with the same fault twice and with two different faults. */
    val pairs: List<MatrixCell>
        get() =
            cells(
                MatrixFault.entries.flatMap { first ->
                    MatrixFault.entries.filter { it >= first }.map { listOf(first, it) }
                },
            )

    private fun cells(faultLists: List<List<MatrixFault>>): List<MatrixCell> =
        scenarios.flatMap { scenario ->
            scenario.steps.flatMap { step -> faultLists.map { MatrixCell(scenario, step, it) } }
        }
}
