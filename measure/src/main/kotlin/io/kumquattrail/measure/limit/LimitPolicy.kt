package io.kumquattrail.measure.limit

import io.kumquattrail.decision.admission.WorkQueue
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.limit.EstimatedQuota
import io.kumquattrail.decision.limit.FairQueue
import io.kumquattrail.decision.limit.LoadShedder
import io.kumquattrail.decision.limit.OwnerQuota
import io.kumquattrail.decision.limit.QuotaPolicy
import io.kumquattrail.decision.limit.RetryBudget
import io.kumquattrail.decision.limit.StaticShareQuota
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Creates the quota policy of one gateway. */
internal typealias QuotaFactory = (ProcessName, Random, (OrganisationName) -> Long?) -> QuotaPolicy

/** Names a combination of queue, quota, shedding and retry budget, and creates its parts. */
internal class LimitPolicy(
    val label: String,
    val queue: () -> WorkQueue,
    val quota: QuotaFactory?,
    val shedder: (() -> LoadShedder)?,
    val retryBudget: () -> RetryBudget,
    val warmUp: Duration = 60.seconds,
) {
    companion object {
        val OWNER_QUOTA: QuotaFactory = { name, random, limits ->
            OwnerQuota(name, Incarnation.random(random), random, limits = limits)
        }
        val ESTIMATED_QUOTA: QuotaFactory = { _, random, limits -> EstimatedQuota(random, limits = limits) }
        val STATIC_QUOTA: QuotaFactory = { _, _, limits -> StaticShareQuota(limits = limits) }

        /** The owner's figures are complete after two rounds of messages. */
        val PRODUCT = fair("fair_queue_owner_quota", OWNER_QUOTA, warmUp = 180.seconds)

        val all: List<LimitPolicy> =
            listOf(
                PRODUCT,
                fair("fair_queue_static_quota", STATIC_QUOTA),
                plain("first_in_first_out", null),
                plain("static_shares", STATIC_QUOTA),
            )

        private fun fair(
            label: String,
            quota: QuotaFactory,
            warmUp: Duration = 60.seconds,
        ) = LimitPolicy(label, { FairQueue() }, quota, { LoadShedder() }, { RetryBudget() }, warmUp)

        private fun plain(
            label: String,
            quota: QuotaFactory?,
        ) = LimitPolicy(label, { FirstInFirstOutQueue() }, quota, null, { RetryBudget(retryShare = UNLIMITED) })

        private const val UNLIMITED = 1e9
    }
}
