package io.kumquattrail.command

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking

/** Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully. */
internal object Daemon {
    /** Calls [start], waits for the signal, and calls [shutdown] before the process exits. */
    fun run(
        start: suspend () -> Unit,
        shutdown: suspend () -> Unit,
    ) {
        val stopped = CompletableDeferred<Unit>()
        val hook =
            Thread({
                runBlocking { shutdown() }
                stopped.complete(Unit)
            }, "shutdown")
        runBlocking {
            start()
            Runtime.getRuntime().addShutdownHook(hook)
            stopped.await()
        }
    }
}
