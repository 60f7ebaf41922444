package io.kumquattrail.measure

/**
 * Measures one property of the decision code over seeded input.
 *
 * The same options give the same decisions; only processor times differ between runs.
 */
interface Measurement {
    /** Name on the command line, such as `zone-service`. */
    val name: String

    /** One sentence for the command line's help. */
    val summary: String

    /** Runs the measurement and returns the object that is printed as the last line of JSON. */
    fun run(options: MeasurementOptions): Map<String, Any?>
}

/**
 * Holds the options of a measurement.
 *
 * @property seed seed of every random decision of the run.
 * @property ranks number of ranks for measurements of groups; `null` selects the measurement's own sizes.
 * @property progress receives lines for a person who waits; nothing that a program reads.
 */
data class MeasurementOptions(
    val seed: Long = 1,
    val ranks: Int? = null,
    val progress: (String) -> Unit = {},
)
