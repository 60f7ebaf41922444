package io.kumquattrail.decision.warning

import io.kumquattrail.decision.identity.ServiceName

/**
 * Counts requests of one service that met or missed one service level since the last sample.
 *
 * Refusals by an organisation's own limit are neither good nor bad: the service did what was published.
 */
data class ServiceLevelSample(
    val service: ServiceName,
    val kind: WarningKind,
    val good: Long,
    val bad: Long,
) {
    init {
        require(kind.objective != null) { "${kind.label} is not a service level" }
    }
}
