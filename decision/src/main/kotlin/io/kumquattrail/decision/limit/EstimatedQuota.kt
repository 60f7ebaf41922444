package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimates the fleet's demand as this gateway's own demand times the number of live gateways; sends no messages.
 *
 * The estimate is only as good as the number of requests behind it, and wrong where callers stay with one gateway.
 *
 * @param limits published limit of an organisation in tokens a second, or `null` for none.
 */
class EstimatedQuota(
    private val random: Random,
    private val settings: QuotaSettings = QuotaSettings(),
    private val window: Duration = 30.seconds,
    private val limits: (OrganisationName) -> Long?,
) : QuotaPolicy {
    private val organisations = HashMap<OrganisationName, Local>()
    private var gateways = 1

    override fun admit(
        organisation: OrganisationName,
        tokens: Long,
        now: MonotonicTime,
    ): QuotaDecision {
        val limit = limits(organisation)?.toDouble() ?: return QuotaDecision.Granted
        val local = organisations.getOrPut(organisation) { Local(random.nextDouble(), now) }
        val demand = local.record(tokens, now) * gateways
        local.credit += minOf(1.0, limit / maxOf(demand, 1.0))
        if (local.credit < 1.0) return QuotaDecision.Refused(settings.shortestRetryAfter)
        local.credit -= 1.0
        return QuotaDecision.Granted
    }

    override fun settle(
        organisation: OrganisationName,
        estimated: Long,
        actual: Long,
        now: MonotonicTime,
    ) {
        organisations[organisation]?.let { it.tokens = maxOf(0.0, it.tokens + actual - estimated) }
    }

    override fun updateGateways(
        gateways: Collection<ProcessName>,
        now: MonotonicTime,
    ) {
        this.gateways = maxOf(1, gateways.size)
    }

    override fun tick(now: MonotonicTime): List<QuotaRequest> {
        organisations.values.removeAll { now - it.last > window * IDLE_WINDOWS }
        return emptyList()
    }

    override fun receive(
        owner: ProcessName,
        grant: QuotaGrant,
        now: MonotonicTime,
    ) = Unit

    private inner class Local(
        var credit: Double,
        var last: MonotonicTime,
    ) {
        var tokens = 0.0

        /** Counts a request and returns this gateway's demand in tokens a second. */
        fun record(
            cost: Long,
            now: MonotonicTime,
        ): Double {
            val constant = window.toDouble(DurationUnit.SECONDS)
            tokens = tokens * exp(-(now - last).toDouble(DurationUnit.SECONDS) / constant) + cost
            last = now
            return tokens / constant
        }
    }

    private companion object {
        const val IDLE_WINDOWS = 10
    }
}
