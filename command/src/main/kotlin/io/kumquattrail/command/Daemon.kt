package io.kumquattrail.command

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking

/** Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully. */
internal object Daemon {
    // A gateway or an agent has to stay within 128 MB; by default Vert.x starts two event loops for each core.
    private const val EVENT_LOOPS = 2
    private const val WORKERS = 2

    /** Creates the event loops of a gateway or an agent. */
    fun vertx(): Vertx =
        Vertx.vertx(
            VertxOptions()
                .setEventLoopPoolSize(EVENT_LOOPS)
                .setWorkerPoolSize(WORKERS)
                .setInternalBlockingPoolSize(WORKERS),
        )

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
