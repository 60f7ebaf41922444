package io.kumquattrail.measure

import io.kumquattrail.measure.limit.LimitsMeasurement
import io.kumquattrail.measure.warning.WarningsMeasurement

/** Lists all measurements that the command line offers. */
object Measurements {
    val all: List<Measurement> =
        listOf(
            LimitsMeasurement,
            WarningsMeasurement,
        )

    /** Finds the measurement called [name], or `null`. */
    fun find(name: String): Measurement? = all.find { it.name == name }
}
