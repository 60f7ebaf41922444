package io.kumquattrail.measure.limit

import io.kumquattrail.decision.admission.QueueDecision
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.admission.WorkQueue
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.limit.ServerLoad
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs the product's queue in front of a server with a fixed number of places and a fixed speed. */
internal class SimulatedAgent(
    val name: ServerName,
    private val queue: WorkQueue,
    private val events: EventQueue,
) {
    private val attempts = HashMap<WorkId, ServerAttempt>()
    private var running = 0

    val load: ServerLoad get() = ServerLoad(queued = queue.size, concurrencyLimit = PLACES)

    fun execute(attempt: ServerAttempt) {
        attempts[attempt.item.id] = attempt
        when (val decision = queue.offer(attempt.item, events.now)) {
            is QueueDecision.Rejected -> notRun(attempt.item, decision.retryAfter)
            is QueueDecision.Accepted -> decision.shed.forEach { notRun(it, SHED_RETRY_AFTER) }
        }
        start()
    }

    fun tick() {
        queue.removeExpired(events.now).forEach { notRun(it, SHED_RETRY_AFTER) }
        start()
    }

    private fun start() {
        while (running < PLACES) {
            val item = queue.poll(events.now) ?: break
            val attempt = attempts.remove(item.id) ?: continue
            running += 1
            events.after(MILLISECONDS_PER_TOKEN.milliseconds * attempt.actualTokens) {
                running -= 1
                attempt.onFinished()
                start()
            }
        }
    }

    private fun notRun(
        item: WorkItem,
        retryAfter: Duration,
    ) {
        attempts.remove(item.id)?.onNotRun?.invoke(retryAfter)
    }

    companion object {
        const val PLACES = 16
        const val MILLISECONDS_PER_TOKEN = 1.6

        /** Tokens a second that one server generates with all places taken. */
        const val TOKENS_PER_SECOND = PLACES * 1_000.0 / MILLISECONDS_PER_TOKEN
        private val SHED_RETRY_AFTER = 500.milliseconds
    }
}

/** Holds one attempt at one server. */
internal class ServerAttempt(
    val item: WorkItem,
    val actualTokens: Int,
    val onFinished: () -> Unit,
    val onNotRun: (Duration) -> Unit,
)
