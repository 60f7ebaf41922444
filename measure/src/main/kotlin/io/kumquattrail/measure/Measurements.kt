package io.kumquattrail.measure

import io.kumquattrail.measure.fleet.ConfigurationMeasurement
import io.kumquattrail.measure.fleet.MembershipMeasurement
import io.kumquattrail.measure.fleet.RecoveryMeasurement

/** Lists all measurements that the command line offers. */
object Measurements {
    val all: List<Measurement> =
        listOf(
            ConfigurationMeasurement,
            MembershipMeasurement,
            RecoveryMeasurement,
        )

    /** Finds the measurement called [name], or `null`. */
    fun find(name: String): Measurement? = all.find { it.name == name }
}
