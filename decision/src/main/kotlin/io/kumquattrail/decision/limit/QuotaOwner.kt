package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.toImmutableList
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Adds up the demand of the organisations whose quota this process owns.
 *
 * The state is only in memory. A new owner gives no figure for an organisation before it has received reports for one
 * round, because a sum over some of the gateways would be too low and let the others exceed the limit. Organisations
 * that ask for less than half of their limit are left out of responses, which keeps these short on an ordinary day.
 * Gateways compare the demand with the limits in effect at their side.
 */
class QuotaOwner(
    private val settings: QuotaSettings = QuotaSettings(),
) {
    private val demands = LinkedHashMap<OrganisationKey, Demand>()
    private val received = HashMap<ProcessName, Received>()
    private var gateways = 1
    private var listedEntries = 0.0

    /** Replaces the gateways that are believed to be live, this one included. */
    fun updateGateways(gateways: Collection<ProcessName>) {
        this.gateways = maxOf(1, gateways.size)
        received.keys.retainAll(gateways.toSet())
    }

    /** Adds [report], unless it is a repetition, and returns the response. */
    fun receive(
        report: QuotaReport,
        now: MonotonicTime,
    ): QuotaGrant {
        val round = settings.round(gateways, listedEntries)
        val previous = received[report.gateway]
        val isNew = previous?.incarnation != report.incarnation || report.sequence > previous.sequence
        if (isNew) {
            received[report.gateway] = Received(report.incarnation, report.sequence)
            report.usages.forEach { usage ->
                demands.getOrPut(usage.organisation) { Demand(now) }.add(usage, now, round)
            }
        }
        demands.values.removeAll { now - it.last > round * IDLE_ROUNDS }
        val listed =
            demands.entries.mapNotNull { (key, demand) ->
                val rate = demand.rate(now, round)
                QuotaDemand(key, rate).takeIf { rate == null || rate >= LISTED_SHARE * demand.limit }
            }
        listedEntries += (listed.size - listedEntries) * SMOOTHING
        return QuotaGrant(
            sequence = report.sequence,
            demands = listed.take(MOST_ENTRIES).toImmutableList(),
            complete = listed.size <= MOST_ENTRIES,
        )
    }

    private data class Received(
        val incarnation: Incarnation,
        val sequence: Long,
    )

    /** Holds a fast and a slow average; the fast one is used once enough requests stand behind it. */
    private class Demand(
        private val since: MonotonicTime,
    ) {
        private val fast = Average()
        private val slow = Average()
        var last = since
            private set
        var limit = 0L
            private set

        fun add(
            usage: QuotaUsage,
            now: MonotonicTime,
            round: Duration,
        ) {
            decay(now, round)
            limit = usage.limit
            listOf(fast, slow).forEach { it.add(usage) }
        }

        fun rate(
            now: MonotonicTime,
            round: Duration,
        ): Double? {
            if (now - since < round) return null
            val seconds = (now - last).toDouble(DurationUnit.SECONDS)
            val age = (now - since).toDouble(DurationUnit.SECONDS)
            val isFastEnough = fast.requests >= REQUESTS_FOR_FAST
            return if (isFastEnough) {
                fast.rate(
                    fastSeconds(round),
                    seconds,
                    age,
                )
            } else {
                slow.rate(slowSeconds(round), seconds, age)
            }
        }

        private fun decay(
            now: MonotonicTime,
            round: Duration,
        ) {
            val seconds = (now - last).toDouble(DurationUnit.SECONDS)
            fast.decay(seconds, fastSeconds(round))
            slow.decay(seconds, slowSeconds(round))
            last = now
        }

        private fun fastSeconds(round: Duration) =
            maxOf(LEAST_FAST_SECONDS, round.toDouble(DurationUnit.SECONDS) * FAST_ROUNDS)

        private fun slowSeconds(round: Duration) = fastSeconds(round) * SLOW_FACTOR
    }

    private class Average {
        private var tokens = 0.0
        var requests = 0.0
            private set

        fun decay(
            seconds: Double,
            constant: Double,
        ) {
            val factor = exp(-seconds / constant)
            tokens *= factor
            requests *= factor
        }

        fun add(usage: QuotaUsage) {
            tokens += usage.tokens
            requests += usage.requests
        }

        fun rate(
            constant: Double,
            sinceLast: Double,
            age: Double,
        ): Double = tokens * exp(-sinceLast / constant) / (constant * (1.0 - exp(-age / constant)))
    }

    private companion object {
        const val MOST_ENTRIES = 512
        const val LISTED_SHARE = 0.5
        const val SMOOTHING = 0.1
        const val IDLE_ROUNDS = 20
        const val REQUESTS_FOR_FAST = 200.0
        const val LEAST_FAST_SECONDS = 4.0
        const val FAST_ROUNDS = 1.0
        const val SLOW_FACTOR = 5.0
    }
}
