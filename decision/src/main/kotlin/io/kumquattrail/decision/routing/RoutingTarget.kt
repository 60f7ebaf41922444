package io.kumquattrail.decision.routing

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.RecordSet

/**
 * Describes a backend server to which a gateway may send work.
 *
 * @property weight published share of the traffic relative to other servers, at least 1.
 * @property inService whether server, availability zone and VM are in service.
 * @property warmConcurrency requests that the warm server bears at once.
 * @property coldConcurrency requests that the server bears at once in cold start.
 */
data class RoutingTarget(
    val name: ServerName,
    val zone: ZoneName,
    val weight: Int = 1,
    val inService: Boolean = true,
    val warmConcurrency: Int = 32,
    val coldConcurrency: Int = 2,
)

/**
 * Describes the server to a routing policy.
 *
 * @property leaving whether the VM list shows the server's VM as leaving or gone.
 */
fun BackendServerRecord.routingTarget(
    records: RecordSet,
    leaving: Boolean = false,
): RoutingTarget =
    RoutingTarget(
        name = name,
        zone = zone,
        weight = weight.coerceAtLeast(1),
        inService = records.mayReceiveWork(this) && !leaving,
        warmConcurrency = warmConcurrency,
        coldConcurrency = coldConcurrency,
    )
