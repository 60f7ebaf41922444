package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Takes a slice of each limit in proportion to this gateway's part of the fleet's demand.
 *
 * The owner of an organisation's quota is a gateway chosen by rendezvous hashing. It adds up the demand that gateways
 * report and responds with the sum. A gateway grants the fraction `limit / demand` of its requests, which needs no
 * per-gateway figure and therefore also holds for organisations whose requests rarely meet the same gateway twice. In
 * addition a bucket bounds what the gateway grants until the next response: at most `headroom` times its slice at the
 * demand last reported, and at least an equal share of the limit.
 *
 * While no owner's figure is fresh, the equal share of the limit alone holds.
 *
 * @param limits published limit of an organisation in tokens a second, or `null` for none.
 */
class OwnerQuota(
    private val self: ProcessName,
    private val incarnation: Incarnation,
    private val random: Random,
    private val settings: QuotaSettings = QuotaSettings(),
    private val limits: (OrganisationName) -> Long?,
) : QuotaPolicy {
    private val organisations = HashMap<OrganisationName, Local>()

    /** In the order of the last report to them. */
    private val owners = LinkedHashMap<ProcessName, Owner>()
    private var gateways = QuotaOwners(listOf(self))
    private var bytes = 0.0
    private var lastTick: MonotonicTime? = null
    private var entriesPerGrant = 0.0
    private var lastForgotten = MonotonicTime(Long.MIN_VALUE / 2)
    private var reports = 0L

    /** Counts over all owners, so that an owner that left the view and returned does not take new reports for old. */
    private var sequence = 0L

    /** Time in which this gateway exchanges a message with every owner. */
    private val round: Duration get() = settings.round(gateways.names.size, entriesPerGrant)

    override fun admit(
        organisation: OrganisationName,
        tokens: Long,
        now: MonotonicTime,
    ): QuotaDecision {
        val limit = limits(organisation)?.toDouble() ?: return QuotaDecision.Granted
        val local = organisations.getOrPut(organisation) { Local(organisation, limit, now) }
        val owner = owners.getOrPut(ownerOf(local)) { Owner(now) }
        local.record(tokens, limit.toLong(), now)
        owner.pending += local
        owner.pendingTokens += tokens
        val demand = knownDemand(local, owner, now)
        val rate = rateOf(local, limit, demand)
        val saved = rate * settings.burst.toDouble(DurationUnit.SECONDS)
        val depth = if (demand == null) saved else maxOf(saved, tokens * LEAST_DEPTH_REQUESTS)
        local.bucket.refill(rate, depth, now)
        if (demand != null && !local.isKnown) local.bucket.fill(depth)
        local.isKnown = demand != null
        val fraction = if (demand == null || demand <= limit) 1.0 else limit / demand
        if (!local.bucket.hasTokens) return QuotaDecision.Refused(settings.retryAfter(local.bucket.waitAt(rate)))
        if (!local.passes(fraction)) return QuotaDecision.Refused(retryAfter(fraction))
        local.bucket.charge(tokens.toDouble())
        return QuotaDecision.Granted
    }

    override fun settle(
        organisation: OrganisationName,
        estimated: Long,
        actual: Long,
        now: MonotonicTime,
    ) {
        val local = organisations[organisation] ?: return
        local.bucket.charge((actual - estimated).toDouble())
        local.correct(actual - estimated)
    }

    override fun updateGateways(
        gateways: Collection<ProcessName>,
        now: MonotonicTime,
    ) {
        val changed = QuotaOwners(gateways + self)
        if (changed.names == this.gateways.names) return
        this.gateways = changed
        owners.keys.retainAll(changed.names.toSet())
        owners.values.forEach { owner ->
            owner.pending.clear()
            owner.pendingTokens = 0
        }
        organisations.values.forEach { it.owner = null }
        organisations.values
            .filter { it.requests > 0 }
            .forEach { local -> owners.getOrPut(ownerOf(local)) { Owner(now) }.pending += local }
    }

    override fun tick(now: MonotonicTime): List<QuotaRequest> {
        refillBytes(now)
        forgetIdle(now)
        gateways.names.forEach { owners.getOrPut(it) { Owner(now) } }
        return buildList {
            while (bytes > 0.0) {
                val (name, owner) = nextOwner(now) ?: break
                owners.remove(name)
                owners[name] = owner
                val report = owner.report(name, now)
                bytes -= sizeOf(report)
                add(QuotaRequest(name, report))
            }
        }
    }

    override fun receive(
        owner: ProcessName,
        grant: QuotaGrant,
        now: MonotonicTime,
    ) {
        val state = owners[owner] ?: return
        if (state.unacknowledged?.sequence != grant.sequence) return
        state.unacknowledged = null
        state.grantedAt = now
        if (grant.complete) state.demands.clear()
        grant.demands.forEach { state.demands[it.organisation] = KnownDemand(it.tokensPerSecond, now) }
        state.isComplete = grant.complete
        entriesPerGrant += (grant.demands.size - entriesPerGrant) * SMOOTHING
    }

    private fun ownerOf(local: Local): ProcessName =
        local.owner ?: gateways.ownerOf(local.key).also { local.owner = it }

    /** Returns the fleet's demand in tokens a second, or `null` while no fresh figure is known. */
    private fun knownDemand(
        local: Local,
        owner: Owner,
        now: MonotonicTime,
    ): Double? {
        val validity = round * VALID_ROUNDS + settings.resendAfter
        val grantedAt = owner.grantedAt
        if (grantedAt != null && now - grantedAt <= validity) {
            val known = owner.demands[local.key]
            val demand = if (known == null && owner.isComplete) 0.0 else known?.takeIf { now - it.at <= validity }?.rate
            if (demand != null) {
                local.demand = demand
                local.demandAt = now
                return demand
            }
        }
        return local.demand?.takeIf { now - local.demandAt <= validity }
    }

    private fun rateOf(
        local: Local,
        limit: Double,
        demand: Double?,
    ): Double {
        val share = limit / gateways.names.size
        if (demand == null) return share
        val ratio = limit / maxOf(demand, limit / MOST_RATIO)
        return maxOf(share, settings.headroom * ratio * local.reportedRate)
    }

    /** Callers of an organisation far above its limit wait longer, as most of them would be refused again. */
    private fun retryAfter(fraction: Double): Duration =
        settings.retryAfter((RETRY_SECONDS / fraction * (1.0 + random.nextDouble())).seconds)

    private fun refillBytes(now: MonotonicTime) {
        val previous = lastTick ?: now
        lastTick = now
        val seconds = (now - previous).toDouble(DurationUnit.SECONDS)
        bytes = minOf(bytes + settings.bytesPerSecond * seconds, settings.bytesPerSecond)
    }

    private fun forgetIdle(now: MonotonicTime) {
        if (now - lastForgotten < FORGET_INTERVAL) return
        lastForgotten = now
        val idle = round * VALID_ROUNDS + settings.resendAfter
        organisations.values.removeAll { it.requests == 0 && now - it.lastRequest > idle }
    }

    /**
     * Chooses in turn the owner with the oldest figures and, for a part of the messages, the one with the most demand to
     * report: large organisations decide most of the error of the limits. Without the turns, the owners of the largest
     * organisations took all messages of a gateway among 320.
     */
    private fun nextOwner(now: MonotonicTime): Map.Entry<ProcessName, Owner>? {
        reports += 1
        val allowed = owners.entries.asSequence().filter { it.value.mayReport(now) }
        return if (reports % REPORTS_PER_DEMAND == 0L) {
            allowed.maxByOrNull { it.value.pendingTokens }
        } else {
            allowed.firstOrNull()
        }
    }

    private fun sizeOf(report: QuotaReport): Double =
        2.0 * settings.messageBytes + settings.entryBytes * (report.usages.size + entriesPerGrant)

    private fun Owner.mayReport(now: MonotonicTime): Boolean {
        val interval = if (unacknowledged == null) settings.leastReportInterval else settings.resendAfter
        return !hasSent || now - lastSent >= interval
    }

    private fun Owner.report(
        name: ProcessName,
        now: MonotonicTime,
    ): QuotaReport {
        lastSent = now
        hasSent = true
        unacknowledged?.let { return it }
        val reported = pending.take(MOST_USAGES)
        val report =
            QuotaReport(
                gateway = self,
                incarnation = incarnation,
                sequence = sequence++,
                usages = reported.map { QuotaUsage(it.key, it.tokens, it.requests, it.limit) }.toImmutableList(),
            )
        reported.forEach { it.reported(now) }
        pending.removeAll(reported.toSet())
        pendingTokens = 0
        unacknowledged = report
        check(name in owners)
        return report
    }

    private data class KnownDemand(
        val rate: Double?,
        val at: MonotonicTime,
    )

    /** Holds what this gateway knows from one owner and has not yet reported to it. */
    private class Owner(
        var lastSent: MonotonicTime,
    ) {
        val pending = LinkedHashSet<Local>()
        val demands = HashMap<OrganisationKey, KnownDemand>()
        var hasSent = false
        var pendingTokens = 0L
        var unacknowledged: QuotaReport? = null
        var grantedAt: MonotonicTime? = null
        var isComplete = false
    }

    /** Holds the state of one organisation at this gateway. */
    private inner class Local(
        val organisation: OrganisationName,
        limit: Double,
        now: MonotonicTime,
    ) {
        val key = OrganisationKey.of(organisation)
        val bucket = TokenBucket(limit / gateways.names.size * settings.burst.toDouble(DurationUnit.SECONDS), now)
        var owner: ProcessName? = null
        var demand: Double? = null
        var demandAt = now
        var lastRequest = now
        var tokens = 0L
        var limit = 0L
        var requests = 0

        /** While the demand is unknown, one request can put a small organisation into debt for minutes. */
        var isKnown = false
        var reportedRate = 0.0

        /** Starts at a random phase, because otherwise the first request at every gateway would fare alike. */
        private var credit = random.nextDouble()
        private var lastReport = now

        fun record(
            tokens: Long,
            limit: Long,
            now: MonotonicTime,
        ) {
            this.limit = limit
            this.tokens += tokens
            requests += 1
            lastRequest = now
        }

        fun correct(difference: Long) {
            if (requests > 0) tokens = maxOf(0, tokens + difference)
        }

        fun passes(fraction: Double): Boolean {
            credit += fraction
            if (credit < 1.0) return false
            credit -= 1.0
            return true
        }

        fun reported(now: MonotonicTime) {
            val seconds = maxOf((now - lastReport).toDouble(DurationUnit.SECONDS), LEAST_REPORT_SECONDS)
            val weight = minOf(1.0, seconds / RATE_SECONDS)
            reportedRate += (tokens / seconds - reportedRate) * weight
            lastReport = now
            tokens = 0
            requests = 0
        }
    }

    private companion object {
        val FORGET_INTERVAL = 10.seconds
        const val MOST_USAGES = 64
        const val MOST_RATIO = 2.0
        const val LEAST_DEPTH_REQUESTS = 4.0
        const val VALID_ROUNDS = 3
        const val SMOOTHING = 0.1
        const val REPORTS_PER_DEMAND = 4L
        const val RATE_SECONDS = 4.0
        const val LEAST_REPORT_SECONDS = 0.25
        const val RETRY_SECONDS = 0.5
    }
}
