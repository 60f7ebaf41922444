package io.kumquattrail.measure.matrix

/** Runs one protocol with faults and checks the guarantees that the protocol touches. */
internal interface ProtocolScenario {
    val protocol: String

    /** Guarantees and bounds that every cell asserts. */
    val guarantees: String

    /** Steps at which the first fault occurs, in order. */
    val steps: List<String>

    /** Returns one sentence on why [fault] makes no sense in this protocol, or `null` when it does. */
    fun emptyReason(fault: MatrixFault): String?

    /** Runs the protocol with [faults], the first of them at [step], and returns the violations. */
    fun run(
        step: String,
        faults: List<MatrixFault>,
        seed: Long,
    ): List<String>
}
