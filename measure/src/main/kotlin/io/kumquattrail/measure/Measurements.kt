package io.kumquattrail.measure

import io.kumquattrail.measure.routing.RoutingMeasurement

/** Lists all measurements that the command line offers. */
object Measurements {
    val all: List<Measurement> =
        listOf(
            RoutingMeasurement(),
        )

    /** Finds the measurement called [name], or `null`. */
    fun find(name: String): Measurement? = all.find { it.name == name }
}
