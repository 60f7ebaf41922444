package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.RendezvousHash
import kotlinx.collections.immutable.ImmutableList

/** Identifies an organisation in quota messages by 64 bits of a hash, which is shorter than its name. */
@JvmInline
value class OrganisationKey(
    val value: Long,
) {
    companion object {
        fun of(organisation: OrganisationName): OrganisationKey =
            OrganisationKey(RendezvousHash.weight("quota", organisation.value))
    }
}

/** Asks for [report] to be sent to the quota owner [owner], which may be this process itself. */
data class QuotaRequest(
    val owner: ProcessName,
    val report: QuotaReport,
)

/**
 * Tells a quota owner what organisations asked of one gateway since its last report.
 *
 * @property sequence increases with each new report of [incarnation] to this owner; a repeated report keeps its number.
 */
data class QuotaReport(
    val gateway: ProcessName,
    val incarnation: Incarnation,
    val sequence: Long,
    val usages: ImmutableList<QuotaUsage>,
)

/**
 * Holds the demand of one organisation at one gateway, refused requests included.
 *
 * @property tokens tokens asked for since the last report.
 * @property requests requests since the last report.
 * @property limit published limit in tokens a second as the gateway knows it.
 */
data class QuotaUsage(
    val organisation: OrganisationKey,
    val tokens: Long,
    val requests: Int,
    val limit: Long,
)

/**
 * Responds to a report with the demand over all gateways.
 *
 * @property sequence number of the report.
 * @property complete whether [demands] names every organisation of this owner that may come near its limit; any other
 *   organisation then asks for less than half of its limit.
 */
data class QuotaGrant(
    val sequence: Long,
    val demands: ImmutableList<QuotaDemand>,
    val complete: Boolean,
)

/**
 * Holds the demand of one organisation at all gateways.
 *
 * @property tokensPerSecond demand in tokens a second, or `null` while the owner has not observed it for long enough.
 */
data class QuotaDemand(
    val organisation: OrganisationKey,
    val tokensPerSecond: Double?,
)
