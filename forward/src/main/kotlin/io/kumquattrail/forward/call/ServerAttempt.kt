package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.ratelimit.RateLimitNotice
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.HttpHeadersView
import io.kumquattrail.forward.http.HttpMessage
import io.kumquattrail.forward.http.NetworkAddress
import io.kumquattrail.forward.http.ResponsePart
import io.kumquattrail.forward.http.ResponseParts
import io.kumquattrail.forward.http.ServerConnection
import io.kumquattrail.forward.http.ServerConnectionPool
import io.kumquattrail.forward.process.ProcessClock
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The state of an attempt before the body of the response. */
sealed interface AttemptStart {
    /** The server has sent the head of its own response; the body follows. */
    class Responding(
        val status: Int,
        val headers: HttpHeadersView,
    ) : AttemptStart

    /** The request was not sent. */
    data class NotSent(
        val reason: String,
    ) : AttemptStart

    /**
     * The server has not run the request and will not run it.
     *
     * @property otherServer whether another server listens at the address.
     * @property faultyServer address of the server whose failure is the reason, or `null`.
     */
    data class NotRun(
        val status: Int,
        val otherServer: Boolean,
        val faultyServer: String?,
    ) : AttemptStart

    /** The server may have run the request, and its response cannot be used. */
    data class Unusable(
        val reason: String,
    ) : AttemptStart

    /** No response began before the timeout; the server may still run the request. */
    data object TimedOut : AttemptStart
}

/**
 * What an attempt that has failed knows about its connection; tells apart the ways in which a proof can be wrong.
 *
 * @property localPort port of the gateway's end of the connection.
 * @property requestNumber number of the request on the connection; 1 for a new connection.
 * @property timeToResponse time from the write of the request to the response; `null` when none arrived.
 * @property namesRequest whether the response carries the id of the request.
 */
data class ConnectionEvidence(
    val localPort: Int,
    val requestNumber: Int,
    val timeToResponse: Duration?,
    val namesRequest: Boolean,
)

private const val MISDIRECTED = 421

/** Statuses of a successful response. */
internal val SUCCESS = 200..299

/**
 * One attempt to run a request on one server.
 *
 * The attempt owns its connection: [close] returns it to the pool after a complete response, and closes it otherwise.
 */
class ServerAttempt(
    private val server: BackendServer,
    private val pool: ServerConnectionPool,
    private val headers: ForwardingHeaders,
) {
    private val address = NetworkAddress(host = server.host, port = server.port)
    private var connection: ServerConnection? = null
    private var parts: ResponseParts? = null
    private var sentAt: MonotonicTime? = null
    private var hasResponded = false

    private var isWithdrawn = false
    private var firstBodyAt: MonotonicTime? = null

    /**
     * Whether the connection ended, not closed by the gateway, in the way that it does when a request crashes its server.
     * A server that has been sending the response body for [CRASH_ATTRIBUTION_TIME] is assumed not to crash because of
     * the request.
     */
    var mayHaveCrashedServer = false
        private set

    /** What is known about the connection; `null` while nothing has been sent. */
    var evidence: ConnectionEvidence? = null
        private set

    /** What the response says about the server's request rate limit; `null` when it says nothing. */
    var rateLimitNotice: RateLimitNotice? = null
        private set

    /** Whether the response ended with its connection, so that a crash of the server may have cut it off. */
    var endedWithConnection = false
        private set

    /** Connects, sends [message] and waits up to [responseTimeout] for the head of the response. */
    suspend fun start(
        message: HttpMessage,
        requestId: String?,
        maximumIdle: Duration,
        responseTimeout: Duration,
    ): AttemptStart {
        val opened =
            pool.acquire(
                address = address,
                connectTimeout = minOf(CONNECT_TIMEOUT, responseTimeout),
                maximumIdle = maximumIdle,
                requestId = requestId,
            ) ?: return AttemptStart.NotSent("no connection to $address")
        connection = opened
        if (isWithdrawn) return AttemptStart.NotSent("withdrawn before it was sent")
        val writtenAt = ProcessClock.monotonic()
        sentAt = writtenAt
        // A channel that is closed no longer knows its port.
        val localPort = opened.localPort
        val received = opened.send(message, requestId)
        parts = received
        val first = next(responseTimeout)
        val head = first as? ResponsePart.Head
        evidence =
            ConnectionEvidence(
                localPort = localPort,
                requestNumber = opened.requestCount,
                timeToResponse = head?.let { ProcessClock.monotonic() - writtenAt },
                namesRequest = head?.namesRequest ?: false,
            )
        return when (first) {
            null -> AttemptStart.TimedOut
            is ResponsePart.Head -> classify(first)
            is ResponsePart.Broken -> AttemptStart.Unusable(first.reason)
            is ResponsePart.Body, is ResponsePart.End -> AttemptStart.Unusable("response without head")
        }
    }

    /** Returns the next part of the body, or `null` when none arrives within [timeout]. */
    suspend fun next(timeout: Duration): ResponsePart? {
        val received = parts ?: return ResponsePart.Broken("attempt is closed")
        val part = withTimeoutOrNull(timeout) { received.next() } ?: return null
        hasResponded = true
        val now = ProcessClock.monotonic()
        if (part is ResponsePart.Body && firstBodyAt == null) firstBodyAt = now
        endedWithConnection = part is ResponsePart.End && part.endsWithConnection
        val lostConnection = part is ResponsePart.Broken && part.connectionLost
        if (endedWithConnection || lostConnection) {
            mayHaveCrashedServer = firstBodyAt?.let { now - it < CRASH_ATTRIBUTION_TIME } ?: true
        }
        return part
    }

    /**
     * Reads the complete body; when it breaks off or is too long, calls [onBroken] with the reason and returns `null`.
     */
    suspend fun readBody(onBroken: (String) -> Unit): ByteArray? =
        pool.collected.Body().use { body ->
            var fault: String? = null
            while (fault == null) {
                when (val part = next(Duration.INFINITE)) {
                    is ResponsePart.Body -> if (!body.add(part.bytes)) fault = "response is too long"
                    is ResponsePart.End -> return@use body.toByteArray()
                    is ResponsePart.Broken -> fault = part.reason
                    is ResponsePart.Head, null -> fault = "second head"
                }
            }
            onBroken(fault)
            null
        }

    /** Stops waiting for the response because of [reason]; closing the connection tells the server to stop, too. */
    fun withdraw(reason: String) {
        if (isWithdrawn) return
        isWithdrawn = true
        connection?.withdraw(reason)
    }

    /** Ends the attempt. The connection is kept for reuse when its response is complete. */
    fun close() {
        val used = connection ?: return
        connection = null
        // All connections to a server may stop responding at once, without a reset. Each one kept would cost another
        // request.
        val timeWithoutResponse = sentAt?.let { ProcessClock.monotonic() - it } ?: Duration.ZERO
        if (!hasResponded && timeWithoutResponse > UNRESPONSIVE_AFTER) pool.closeIdle(address)
        pool.release(address, used)
    }

    private suspend fun classify(head: ResponsePart.Head): AttemptStart {
        val notRun = head.status == MISDIRECTED || head.headers.contains(headers.notRun)
        if (head.status != MISDIRECTED) rateLimitNotice = readRateLimit(head.headers, isSigned(head))
        return when {
            notRun -> {
                // The short body is read so that the connection can be reused.
                withTimeoutOrNull(REFUSAL_BODY_TIMEOUT) { readBody(onBroken = {}) }
                AttemptStart.NotRun(
                    status = head.status,
                    otherServer = head.status == MISDIRECTED,
                    faultyServer = head.headers.get(headers.faultyServer),
                )
            }

            head.headers.contains(HttpHeaderNames.CONTENT_ENCODING) -> {
                AttemptStart.Unusable("encoded body")
            }

            head.status in SUCCESS && !isSigned(head) -> {
                AttemptStart.Unusable("response without signature")
            }

            else -> {
                AttemptStart.Responding(status = head.status, headers = head.headers)
            }
        }
    }

    private fun isSigned(head: ResponsePart.Head): Boolean = head.headers.contains(headers.signature)

    /** Only a signed response without a limit ends an earlier one; a refusal may come before the server looks at its load. */
    private fun readRateLimit(
        responseHeaders: HttpHeadersView,
        isSigned: Boolean,
    ): RateLimitNotice? {
        val value = responseHeaders.get(headers.rateLimit)
        return if (value == null) RateLimitNotice.Unlimited.takeIf { isSigned } else RateLimitNotice.parse(value)
    }

    private companion object {
        /**
         * Longest time to open a connection. Zones are a few milliseconds apart, but TCP repeats a lost packet only
         * after a second or more, so another server is tried earlier.
         */
        val CONNECT_TIMEOUT = 400.milliseconds

        /**
         * Time from the first bytes of a response body in which a crash may be due to the request. It covers many steps
         * of an engine, of which the first ones may crash it.
         */
        val CRASH_ATTRIBUTION_TIME = 500.milliseconds

        /**
         * Time without a response after which a server's idle connections are closed; well over the normal response
         * time.
         */
        val UNRESPONSIVE_AFTER = 1.seconds

        /** Time to read the rest of a refusal, which is short and already on its way. */
        val REFUSAL_BODY_TIMEOUT = 50.milliseconds
    }
}
