package io.kumquattrail.forward.call

import io.kumquattrail.decision.delivery.EventStreamCursor
import io.kumquattrail.decision.delivery.StreamStallTimeout
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.route.Route
import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.suspect.RequestFingerprint
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.CallerExchange
import io.kumquattrail.forward.http.HttpReply
import kotlin.time.Duration

/**
 * A request that is being forwarded.
 *
 * @property configurationVersion version of the configuration under which the request was allowed.
 * @param readPromptParts returns the parts of the prompt that other requests may share.
 * @property deadline time after which the request is abandoned, by the caller's own limit or the route's timeout.
 */
class Call(
    val exchange: CallerExchange,
    val requestId: String?,
    val route: Route,
    val configurationVersion: Long,
    val priority: Int,
    val organisation: String?,
    val service: ServiceName,
    val deadline: MonotonicTime,
    val cursor: EventStreamCursor,
    readPromptParts: () -> List<PromptPart> = { emptyList() },
) {
    /** Parts of the prompt that other requests may share. */
    val sharedPromptParts: List<PromptPart> by lazy(LazyThreadSafetyMode.NONE, readPromptParts)

    /** Identifies the request at all gateways; it stays the same when the caller sends the request again. */
    val fingerprint: RequestFingerprint by lazy {
        val request = exchange.request
        RequestFingerprint.of(organisation, request.method, request.target, request.body)
    }

    /** Servers to which the request was sent. */
    val triedServers = HashSet<ServerName>()

    /** Time at which the request was last sent to a server. */
    var lastSentAt: MonotonicTime = exchange.arrived

    /** Whether the request has been counted in the retry budget of its service. */
    var isCountedAsFresh = false

    /** Number of times that the request was sent to a server. */
    var sendCount = 0

    /** Number of attempts in which the request may have run. */
    var runCount = 0

    /** Whether the request may be sent again if it may have run in the current attempt. */
    val mayRunAgain: Boolean
        get() = route.repeatable && runCount + 1 < route.maximumAttempts && cursor.canContinue

    /** Whether a server refused the request because another rank of its group has failed. */
    var refusedByFailedGroup = false

    /** Head of the run whose events the caller received first; `null` before the first event. */
    var streamHead: AttemptStart.Responding? = null

    /** Adapts the stall timeout to the pace of the stream. */
    val stallTimeout = StreamStallTimeout()

    /** Time of the last event of the stream; `null` before the first. */
    var lastEventAt: MonotonicTime? = null

    /** Attempt in progress; `null` between attempts. */
    var attempt: ServerAttempt? = null

    /** Whether a server has begun to answer the request, in any attempt. */
    var hasAnswerBegun = false

    /** Longest pause between two events of the stream so far. */
    var longestPause: Duration = Duration.ZERO

    /** Time from the request's arrival to the event that ended the longest pause; `null` before the second event. */
    var longestPauseEnd: Duration? = null

    /** Time for which the request was held at the gateway, waiting for capacity or for the end of a slow phase. */
    var waited: Duration = Duration.ZERO
}

/**
 * The reason for which an attempt failed.
 *
 * @property provesNotRun whether it is certain that the request has not run on that server.
 */
enum class FailureKind(
    val provesNotRun: Boolean,
) {
    /** No connection could be opened. */
    NOT_SENT(true),

    /** The server refused the request. */
    NOT_RUN(true),

    /** Another server listens at the address. */
    OTHER_SERVER(true),

    /** The server ran the request and reported a failure. */
    RAN(false),

    /** The server may have run the request. */
    MAY_HAVE_RUN(false),
}

/** The result of an attempt. */
sealed interface AttemptOutcome {
    /** The caller has received the server's complete response. */
    data class Finished(
        val status: Int,
    ) : AttemptOutcome

    /**
     * The caller needs another attempt or a failure response.
     *
     * @property reply the server's own failure response, which the caller receives if there is no other attempt.
     * @property faultyServer address of another server that caused the failure, as the server named it.
     * @property retryGranted whether the retry budget has already granted another attempt.
     * @property mayHaveCrashedServer whether the connection was lost in the way that it is when the request crashes its
     *   server.
     * @property evidence what is known about the connection; `null` when nothing was sent.
     */
    data class Failed(
        val kind: FailureKind,
        val reason: String,
        val reply: HttpReply? = null,
        val faultyServer: String? = null,
        val retryGranted: Boolean = false,
        val mayHaveCrashedServer: Boolean = false,
        val evidence: ConnectionEvidence? = null,
    ) : AttemptOutcome

    /** Whether the request has not reached the server. */
    val isNotSent: Boolean get() = this is Failed && kind == FailureKind.NOT_SENT

    companion object {
        /**
         * Returns the outcome for a response that broke off or is unusable because of [reason]; the request may have
         * run.
         */
        fun broken(reason: String): AttemptOutcome = Failed(FailureKind.MAY_HAVE_RUN, reason)
    }
}
