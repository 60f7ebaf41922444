package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.suspect.FatalRequestLedger
import io.kumquattrail.decision.suspect.ServerEnd
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

/** Returns what is held against the request of [call], whose fingerprint is not computed when there are no suspects. */
internal fun FatalRequestLedger.judge(
    call: Call,
    now: MonotonicTime,
): Suspicion = if (isEmpty) Suspicion.None else judge(call.fingerprint, now)

/**
 * Collects what attempts show of requests that end servers. It is used on the event loop only.
 *
 * @property onRepeatedEnd called when a server has ended under a request that was in progress at an earlier end too.
 */
internal class FatalRequestGuard(
    private val scope: CoroutineScope,
    private val state: GatewayState,
    pool: ServerConnectionPool,
    private val metrics: ForwardingMetrics,
    private val onRepeatedEnd: () -> Unit,
) {
    private val ledger = state.fatalRequests
    private val serverEnds = ServerEndCheck(pool, onChecked = ::checked)

    /** Returns what is held against the request of [call]. */
    fun judge(call: Call): Suspicion = ledger.judge(call, ProcessClock.monotonic())

    /**
     * Finds out whether [server], which has lost the connection of [call], has ended, and holds it against the request.
     *
     * It returns after a first look, as the request may go on elsewhere; a process that ends may close its connections
     * before its listener, so a second look follows.
     */
    suspend fun connectionLost(
        call: Call,
        server: BackendServer,
    ) {
        val sentBefore = ProcessClock.monotonic() - call.sentAt
        if (serverEnds.hasEnded(server)) return charge(call, server, sentBefore)
        scope.launch {
            delay(SECOND_LOOK)
            if (serverEnds.hasEnded(server)) charge(call, server, sentBefore)
        }
    }

    private fun charge(
        call: Call,
        server: BackendServer,
        sentBefore: Duration,
    ) {
        val end = ServerEnd(server = server.name, incarnation = server.incarnation)
        if (!ledger.inProgressAt(end, call.fingerprint, sentBefore, ProcessClock.monotonic())) return
        val ends = ledger.endsHeldAgainst(call.fingerprint)
        state.log.log(
            "request_suspected",
            "id" to call.requestId,
            "fingerprint" to call.fingerprint,
            "server" to server.name,
            "sent_before_ms" to sentBefore.inWholeMilliseconds,
            "ends" to ends,
        )
        if (ends > 1) onRepeatedEnd()
    }

    /** Clears the request of [call], which a server has run to its end. */
    fun completed(call: Call) {
        if (ledger.isEmpty) return
        val cleared = ledger.completed(call.fingerprint, ProcessClock.monotonic())
        if (cleared.isEmpty()) return
        state.log.log(
            "request_cleared",
            "id" to call.requestId,
            "fingerprint" to call.fingerprint,
            "ends" to cleared.size,
        )
    }

    private fun checked(
        server: BackendServer,
        listener: ListenerState,
    ) {
        if (listener == ListenerState.GONE) metrics.serverEnds.labelValues(server.service.value).inc()
        state.log.log(
            "server_checked",
            "server" to server.name,
            "service" to server.service,
            "zone" to server.zone,
            "listener" to listener,
        )
    }

    private companion object {
        /** Time in which a process that ends has closed its listener, and less than it takes to start again. */
        val SECOND_LOOK = 200.milliseconds
    }
}
