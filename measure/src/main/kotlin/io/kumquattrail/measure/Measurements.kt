package io.kumquattrail.measure

import io.kumquattrail.measure.expert.MapSwitchMeasurement
import io.kumquattrail.measure.expert.RebalanceCostMeasurement
import io.kumquattrail.measure.expert.StepSkewMeasurement
import io.kumquattrail.measure.fleet.ConfigurationMeasurement
import io.kumquattrail.measure.fleet.MembershipMeasurement
import io.kumquattrail.measure.fleet.RecoveryMeasurement
import io.kumquattrail.measure.idempotency.AtMostOnceMeasurement
import io.kumquattrail.measure.limit.LimitsMeasurement
import io.kumquattrail.measure.matrix.FaultMatrixMeasurement
import io.kumquattrail.measure.routing.RoutingMeasurement
import io.kumquattrail.measure.suspect.PromptPartsMeasurement
import io.kumquattrail.measure.warning.WarningsMeasurement
import io.kumquattrail.measure.zone.ZoneMeasurement

/** Lists all measurements that the command line offers. */
object Measurements {
    val all: List<Measurement> =
        listOf(
            LimitsMeasurement,
            AtMostOnceMeasurement(),
            MapSwitchMeasurement(),
            RoutingMeasurement(),
            ZoneMeasurement(),
            RebalanceCostMeasurement(),
            StepSkewMeasurement(),
            WarningsMeasurement,
            ConfigurationMeasurement,
            MembershipMeasurement,
            RecoveryMeasurement,
            FaultMatrixMeasurement,
            PromptPartsMeasurement,
        )

    /** Finds the measurement called [name], or `null`. */
    fun find(name: String): Measurement? = all.find { it.name == name }
}
