package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.DurationUnit

/**
 * Gives each live gateway an equal share of every limit and sends no messages.
 *
 * It refuses too much when an organisation's requests are few or arrive unevenly over the gateways.
 *
 * @param limits published limit of an organisation in tokens a second, or `null` for none.
 */
class StaticShareQuota(
    private val settings: QuotaSettings = QuotaSettings(),
    private val limits: (OrganisationName) -> Long?,
) : QuotaPolicy {
    private val buckets = HashMap<OrganisationName, TokenBucket>()
    private var gateways = 1

    override fun admit(
        organisation: OrganisationName,
        tokens: Long,
        now: MonotonicTime,
    ): QuotaDecision {
        val limit = limits(organisation) ?: return QuotaDecision.Granted
        val rate = limit.toDouble() / gateways
        val depth = rate * settings.burst.toDouble(DurationUnit.SECONDS)
        val bucket = buckets.getOrPut(organisation) { TokenBucket(depth, now) }
        bucket.refill(rate, depth, now)
        if (!bucket.hasTokens) return QuotaDecision.Refused(settings.retryAfter(bucket.waitAt(rate)))
        bucket.charge(tokens.toDouble())
        return QuotaDecision.Granted
    }

    override fun settle(
        organisation: OrganisationName,
        estimated: Long,
        actual: Long,
        now: MonotonicTime,
    ) {
        buckets[organisation]?.charge((actual - estimated).toDouble())
    }

    override fun updateGateways(
        gateways: Collection<ProcessName>,
        now: MonotonicTime,
    ) {
        this.gateways = maxOf(1, gateways.size)
    }

    override fun tick(now: MonotonicTime): List<QuotaRequest> = emptyList()

    override fun receive(
        owner: ProcessName,
        grant: QuotaGrant,
        now: MonotonicTime,
    ) = Unit
}
