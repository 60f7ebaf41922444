package io.kumquattrail.forward.call

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.ListenerState
import io.kumquattrail.forward.http.NetworkAddress
import io.kumquattrail.forward.http.ServerConnectionPool
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks whether a server that lost a connection has crashed, by opening another connection.
 *
 * A process that crashes closes its listener together with its connections. A healthy server that resets one connection
 * accepts the next, and a server behind a broken link does not respond. Must be used on the event loop only.
 *
 * @property onChecked called with the result of each check.
 */
internal class ServerCrashCheck(
    private val pool: ServerConnectionPool,
    private val onChecked: (BackendServer, ListenerState) -> Unit,
) {
    private val checks = HashMap<ServerName, Check>()

    /** Returns whether [server], which has just lost a connection, has crashed. */
    suspend fun hasCrashed(server: BackendServer): Boolean = check(server, PROBE_TIMEOUT) == ListenerState.GONE

    /**
     * Returns whether [server], which has just closed a connection in order, still accepts others. Waits until a process
     * that is ending has closed its listener, and longer for a response than [hasCrashed], as the request is not retried
     * meanwhile.
     */
    suspend fun isListening(server: BackendServer): Boolean {
        delay(CLOSING_TIME)
        return check(server, LISTENING_TIMEOUT) == ListenerState.LISTENS
    }

    private suspend fun check(
        server: BackendServer,
        timeout: Duration,
    ): ListenerState {
        val now = ProcessClock.monotonic()
        checks.values.removeAll { now - it.startedAt > CRASH_RETENTION }
        // All requests in progress lose their connections at the same time and share one check.
        checks[server.name]?.let { return it.result.await() }
        val check = Check(startedAt = now)
        checks[server.name] = check
        var listener = ListenerState.UNKNOWN
        try {
            listener = pool.probe(NetworkAddress(server.host, server.port), timeout)
        } finally {
            // A server that has not crashed may crash a moment later, so this result is not kept.
            if (listener != ListenerState.GONE) checks.remove(server.name)
            check.result.complete(listener)
            onChecked(server, listener)
        }
        return listener
    }

    private class Check(
        val startedAt: MonotonicTime,
        val result: CompletableDeferred<ListenerState> = CompletableDeferred(),
    )

    private companion object {
        /**
         * A reachable machine responds within a few milliseconds, and a request that may be retried waits for the
         * probe.
         */
        val PROBE_TIMEOUT = 60.milliseconds

        /** Time in which a process that ends closes its listener after its connections. */
        val CLOSING_TIME = 20.milliseconds

        /** A server that does not respond for that long has no listener that could be reached. */
        val LISTENING_TIMEOUT = 500.milliseconds

        /** Time for which the result of a crash is reused; servers take longer than that to restart. */
        val CRASH_RETENTION = 1.seconds
    }
}
