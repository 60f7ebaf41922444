package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.ListenerState
import io.kumquattrail.forward.http.NetworkAddress
import io.kumquattrail.forward.http.ServerConnectionPool
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Finds out whether a server that lost a connection has ended, by asking for another connection.
 *
 * A process that ends closes its listener with its connections. A sound server that resets one connection accepts the
 * next, and a server behind a broken link gives no answer. It is used on the event loop only.
 *
 * @property onChecked called with the result of each check.
 */
internal class ServerEndCheck(
    private val pool: ServerConnectionPool,
    private val onChecked: (BackendServer, ListenerState) -> Unit,
) {
    private val checks = HashMap<ServerName, Check>()

    /** Tells whether [server], which has just lost a connection, has ended. */
    suspend fun hasEnded(server: BackendServer): Boolean {
        val now = ProcessClock.monotonic()
        checks.values.removeAll { now - it.startedAt > END_HOLDS }
        // All requests in progress lose their connections in one moment and share the answer.
        checks[server.name]?.let { return it.ended.await() }
        val check = Check(startedAt = now)
        checks[server.name] = check
        var listener = ListenerState.UNKNOWN
        try {
            listener = pool.probe(NetworkAddress(server.host, server.port), TIMEOUT)
        } finally {
            // A server that has not ended may end in the next moment.
            if (listener != ListenerState.GONE) checks.remove(server.name)
            check.ended.complete(listener == ListenerState.GONE)
            onChecked(server, listener)
        }
        return listener == ListenerState.GONE
    }

    private class Check(
        val startedAt: MonotonicTime,
        val ended: CompletableDeferred<Boolean> = CompletableDeferred(),
    )

    private companion object {
        /** A living host answers within a few milliseconds, and a request that may be sent again waits for this. */
        val TIMEOUT = 60.milliseconds

        /** Time for which an end is not asked for again; servers take longer than that to start. */
        val END_HOLDS = 1.seconds
    }
}
