package io.kumquattrail.measure

import io.kumquattrail.measure.expert.MapSwitchMeasurement
import io.kumquattrail.measure.expert.RebalanceCostMeasurement
import io.kumquattrail.measure.expert.StepSkewMeasurement

/** Lists all measurements that the command line offers. */
object Measurements {
    val all: List<Measurement> =
        listOf(
            MapSwitchMeasurement(),
            RebalanceCostMeasurement(),
            StepSkewMeasurement(),
        )

    /** Finds the measurement called [name], or `null`. */
    fun find(name: String): Measurement? = all.find { it.name == name }
}
