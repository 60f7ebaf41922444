package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.suspect.CrashLedger
import io.kumquattrail.decision.suspect.RequestFingerprint
import io.kumquattrail.decision.suspect.ServerCrash
import io.kumquattrail.decision.suspect.Suspicion
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.ListenerState
import io.kumquattrail.forward.http.ServerConnectionPool
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Returns the suspicion against the request of [call]; without any suspects, its fingerprint is not computed. */
internal fun CrashLedger<RequestFingerprint>.judge(
    call: Call,
    now: MonotonicTime,
): Suspicion = if (hasSuspects) classify(call.fingerprint, now) else Suspicion.None

/**
 * Records the crashes of servers that may be due to a request. Must be used on the event loop only.
 *
 * @property parts guards against parts of prompts that crash servers, whichever requests have them.
 * @property onNewEvidence called when other gateways should be informed at once: a server has crashed while it ran a
 *   request that was in progress at an earlier crash, or that has a suspected prompt part.
 */
internal class FatalRequestGuard(
    private val scope: CoroutineScope,
    private val state: GatewayState,
    pool: ServerConnectionPool,
    private val metrics: ForwardingMetrics,
    private val parts: PromptPartGuard,
    private val onNewEvidence: () -> Unit,
) {
    private val ledger = state.fatalRequests
    private val crashCheck = ServerCrashCheck(pool, onChecked = ::logCheck)

    /** Returns the suspicion against the request of [call]. */
    fun judge(call: Call): Suspicion = ledger.judge(call, ProcessClock.monotonic())

    /** Returns whether [server], which has just closed a connection in order, still accepts others. */
    suspend fun isListening(server: BackendServer): Boolean = crashCheck.isListening(server)

    /**
     * Checks whether [server], which has lost the connection of [call], has crashed, and records a crash for the
     * request.
     *
     * It returns after the first check, so that the request can be retried on another server. A process that crashes
     * may close its connections before its listener, so a second check follows in the background.
     */
    suspend fun onConnectionLost(
        call: Call,
        server: BackendServer,
    ) {
        val timeSinceSent = ProcessClock.monotonic() - call.lastSentAt
        if (crashCheck.hasCrashed(server)) return recordCrash(call, server, timeSinceSent)
        scope.launch {
            delay(SECOND_CHECK_DELAY)
            if (crashCheck.hasCrashed(server)) recordCrash(call, server, timeSinceSent)
        }
    }

    private fun recordCrash(
        call: Call,
        server: BackendServer,
        timeSinceSent: Duration,
    ) {
        val crash = ServerCrash(server = server.name, incarnation = server.incarnation)
        if (parts.recordCrash(call, crash, timeSinceSent)) onNewEvidence()
        if (!ledger.recordCrash(crash, call.fingerprint, timeSinceSent, ProcessClock.monotonic())) return
        val crashes = ledger.crashCount(call.fingerprint)
        state.log.log(
            "request_suspected",
            "id" to call.requestId,
            "fingerprint" to call.fingerprint,
            "server" to server.name,
            "sent_before_ms" to timeSinceSent.inWholeMilliseconds,
            "ends" to crashes,
            "events" to call.cursor.delivered,
            "parts" to call.sharedPromptParts.take(MAXIMUM_LOGGED_PARTS).joinToString(","),
        )
        if (crashes > 1) onNewEvidence()
    }

    /** Clears the request of [call] of suspicion, as a server has completed it. */
    fun onCompleted(call: Call) {
        if (!ledger.hasSuspects) return
        val cleared = ledger.recordCompletion(call.fingerprint, ProcessClock.monotonic())
        if (cleared.isEmpty()) return
        state.log.log(
            "request_cleared",
            "id" to call.requestId,
            "fingerprint" to call.fingerprint,
            "ends" to cleared.size,
        )
    }

    private fun logCheck(
        server: BackendServer,
        listener: ListenerState,
    ) {
        if (listener == ListenerState.GONE) metrics.serverCrashes.labelValues(server.service.value).inc()
        state.log.log(
            "server_checked",
            "server" to server.name,
            "service" to server.service,
            "zone" to server.zone,
            "listener" to listener,
        )
    }

    private companion object {
        /** Bounds the length of a log line; callers choose the number of parts. */
        const val MAXIMUM_LOGGED_PARTS = 16

        /** Time within which a crashing process has closed its listener; shorter than a restart. */
        val SECOND_CHECK_DELAY = 200.milliseconds
    }
}
