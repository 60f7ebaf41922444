package io.kumquattrail.forward.call

import io.kumquattrail.decision.delivery.EventStreamCursor
import io.kumquattrail.decision.delivery.StreamPatience
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.route.Route
import io.kumquattrail.decision.suspect.RequestFingerprint
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.CallerExchange
import io.kumquattrail.forward.http.HttpReply
import kotlin.time.Duration

/**
 * A request that is being forwarded.
 *
 * @property version version of the configuration that allowed it.
 * @property deadline time at which the caller or the route's timeout ends it.
 */
class Call(
    val exchange: CallerExchange,
    val requestId: String?,
    val route: Route,
    val version: Long,
    val priority: Int,
    val organisation: String?,
    val service: ServiceName,
    val deadline: MonotonicTime,
    val cursor: EventStreamCursor,
) {
    /** Identifies the request among those of all gateways; the same for each time that its caller sends it. */
    val fingerprint: RequestFingerprint by lazy {
        val request = exchange.request
        RequestFingerprint.of(organisation, request.method, request.target, request.body)
    }

    /** Servers that have had the request. */
    val tried = HashSet<ServerName>()

    /** Time at which the request was last given to a server. */
    var sentAt: MonotonicTime = exchange.arrived

    /** Number of times that the request was given to a server. */
    var sendings = 0

    /** Number of sendings that may have run. */
    var runs = 0

    /** Whether the request may be sent again if the present sending may have run. */
    val mayRunAgain: Boolean get() = route.repeatable && runs + 1 < route.maximumAttempts

    /** Whether a server refused it because another rank of its group has failed. */
    var metBrokenGroup = false

    /** Judges whether the stream has stalled. */
    val patience = StreamPatience()

    /** Time of the last event of the stream; `null` before the first. */
    var lastEventAt: MonotonicTime? = null

    /** Longest pause between two events of the stream so far. */
    var longestPause: Duration = Duration.ZERO

    /** Time from the request's arrival to the event that ended the longest pause; `null` before the second event. */
    var longestPauseEnd: Duration? = null

    /** Time for which the request waited for room. */
    var waited: Duration = Duration.ZERO
}

/** Says why an attempt failed. [provesNotRun] tells whether the request is known not to have run there. */
enum class FailureKind(
    val provesNotRun: Boolean,
) {
    /** No connection could be opened. */
    NOT_SENT(true),

    /** The server refused the request. */
    NOT_RUN(true),

    /** Another server has the address. */
    OTHER_SERVER(true),

    /** The server ran the request and failed. */
    RAN(false),

    /** The server may have run the request. */
    MAY_HAVE_RUN(false),
}

/** Says how an attempt ended. */
sealed interface AttemptOutcome {
    /** The caller has the server's whole response. */
    data class Finished(
        val status: Int,
    ) : AttemptOutcome

    /**
     * The caller needs another attempt or a failure.
     *
     * @property reply the server's own failure, which the caller gets if there is no other attempt.
     * @property faultyServer address of another server that caused the failure, as the server named it.
     * @property mayRepeat whether the retry budget has already been asked for another attempt, and allows it.
     * @property mayHaveEndedServer whether the connection was lost in a way that a request leaves which ends its server.
     */
    data class Failed(
        val kind: FailureKind,
        val reason: String,
        val reply: HttpReply? = null,
        val faultyServer: String? = null,
        val mayRepeat: Boolean = false,
        val mayHaveEndedServer: Boolean = false,
    ) : AttemptOutcome

    companion object {
        /** The server's answer was broken off or is unusable for [reason]. */
        fun broken(reason: String): AttemptOutcome = Failed(FailureKind.MAY_HAVE_RUN, reason)
    }
}
