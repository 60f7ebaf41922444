package io.kumquattrail.decision.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of quota enforcement, equal at all gateways.
 *
 * @property bytesPerSecond bytes a second of reports and their responses that one gateway starts; as an owner it
 *   receives about as much again.
 * @property messageBytes bytes of one message without entries, with TCP, TLS, HTTP/2 and gRPC framing.
 * @property entryBytes bytes of one entry of a message, with entries in packed fields.
 * @property leastReportInterval shortest time between two reports to the same owner.
 * @property resendAfter time after which a report without a response is sent again.
 * @property headroom factor by which a gateway may exceed its part of the limit before the next report, so that uneven
 *   arrivals are not refused.
 * @property burst time for which a gateway may save up its part of a limit.
 * @property shortestRetryAfter shortest time that a refusal names.
 * @property longestRetryAfter longest time that a refusal names.
 */
data class QuotaSettings(
    val bytesPerSecond: Double = 1_500.0,
    val messageBytes: Int = 120,
    val entryBytes: Int = 14,
    val leastReportInterval: Duration = 1.seconds,
    val resendAfter: Duration = 2.seconds,
    val headroom: Double = 1.2,
    val burst: Duration = 2.seconds,
    val shortestRetryAfter: Duration = 200.milliseconds,
    val longestRetryAfter: Duration = 60.seconds,
) {
    /**
     * Time in which a gateway exchanges one message with each of [gateways] owners of [organisations] each, when it takes
     * a quarter of its messages out of turn.
     */
    fun round(
        gateways: Int,
        organisations: Double,
    ): Duration {
        val exchangeBytes = 2 * messageBytes + entryBytes * organisations
        return maxOf(leastReportInterval, (gateways * exchangeBytes / (bytesPerSecond * IN_TURN)).seconds)
    }

    internal fun retryAfter(wait: Duration): Duration = wait.coerceIn(shortestRetryAfter, longestRetryAfter)

    private companion object {
        const val IN_TURN = 0.75
    }
}
