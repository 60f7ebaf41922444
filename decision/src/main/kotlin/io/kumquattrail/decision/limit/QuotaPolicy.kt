package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime

/**
 * Enforces organisations' published limits, which hold over all gateways together, at one gateway.
 *
 * An organisation without a published limit is always granted and causes no messages. An instance is used by one thread
 * at a time.
 */
interface QuotaPolicy {
    /** Decides on a request of [organisation] with an estimated cost of [tokens]. */
    fun admit(
        organisation: OrganisationName,
        tokens: Long,
        now: MonotonicTime,
    ): QuotaDecision

    /** Corrects the charge of a granted request from [estimated] to [actual] tokens once its cost is known. */
    fun settle(
        organisation: OrganisationName,
        estimated: Long,
        actual: Long,
        now: MonotonicTime,
    )

    /** Replaces the gateways that are believed to be live, this one included. */
    fun updateGateways(
        gateways: Collection<ProcessName>,
        now: MonotonicTime,
    )

    /** Returns the reports to send now. Call it several times a second. */
    fun tick(now: MonotonicTime): List<QuotaRequest>

    /** Takes in the response of [owner] to a report. */
    fun receive(
        owner: ProcessName,
        grant: QuotaGrant,
        now: MonotonicTime,
    )
}
