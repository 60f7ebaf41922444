package io.kumquattrail.forward.process

import io.kumquattrail.forward.log.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Delay after which a failed task is started again, so that one that always fails does not use up the processor. */
private val RESTART_DELAY = 500.milliseconds

/**
 * Launches [task], which is expected to run until this scope is cancelled, and starts it again when it fails.
 *
 * @param name name of the task in the log.
 */
fun CoroutineScope.launchBackgroundTask(
    name: String,
    log: EventLog,
    restartDelay: Duration = RESTART_DELAY,
    task: suspend CoroutineScope.() -> Unit,
): Job =
    launch {
        while (true) {
            try {
                return@launch task()
            } catch (
                // Any failure counts, also a StackOverflowError or a timeout, which is a CancellationException.
                @Suppress("TooGenericExceptionCaught") failure: Throwable,
            ) {
                ensureActive()
                log.failure("task_failed", failure, "task" to name, "at" to failure.stackTrace.firstOrNull())
            }
            delay(restartDelay)
        }
    }
