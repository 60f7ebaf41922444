package io.kumquattrail.forward.call

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.placement.PromptDelay
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.log.EventLog
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Measures the pauses between events of streams, and delays new prompts while the streams of their service are slow.
 * Must be used on the event loop only.
 */
internal class StreamPauses(
    private val log: EventLog,
    private val onEvent: (ServerName, MonotonicTime) -> Unit,
    private val onPause: (ServerName, Duration, MonotonicTime) -> Unit,
    private val random: Random,
) {
    private val promptDelays = HashMap<ServiceName, PromptDelay>()

    /** Delays the prompt of [call] while the streams of its service are slowed by a shift of expert popularity. */
    suspend fun delayPrompt(call: Call) {
        val promptDelay = promptDelays[call.service]?.takeIf { call.route.gapTarget != null } ?: return
        val startedAt = ProcessClock.monotonic()
        val jitter = random.nextDouble()
        while (true) {
            val remaining =
                promptDelay.remainingDelay(
                    arrived = startedAt,
                    now = ProcessClock.monotonic(),
                    spare = call.route.latencyTarget * MAXIMUM_DELAY_FRACTION,
                    jitter = jitter,
                )
            if (!remaining.isPositive()) break
            delay(minOf(remaining, DELAY_POLL_INTERVAL))
        }
        call.waited += ProcessClock.monotonic() - startedAt
    }

    /** Records that an event of [call]'s stream from [server] has been passed on. */
    fun eventDelivered(
        call: Call,
        server: ServerName,
    ) {
        val now = ProcessClock.monotonic()
        onEvent(server, now)
        val last = call.lastEventAt
        call.lastEventAt = now
        if (last == null) return
        val pause = now - last
        call.stallTimeout.recordPause(pause)
        onPause(server, pause, now)
        detectSlowPhase(call, pause, now)
        if (pause > call.longestPause) {
            call.longestPause = pause
            call.longestPauseEnd = now - call.exchange.arrived
        }
    }

    private fun detectSlowPhase(
        call: Call,
        pause: Duration,
        now: MonotonicTime,
    ) {
        val tolerated = call.route.toleratedPause ?: return
        val promptDelay = promptDelays.getOrPut(call.service) { PromptDelay() }
        if (!promptDelay.recordPause(pause, tolerated, now)) return
        log.log(
            "streams_slowed",
            "service" to call.service,
            "pause_ms" to pause.inWholeMilliseconds,
            "usual_ms" to promptDelay.averagePause?.inWholeMilliseconds,
        )
    }

    private companion object {
        /**
         * Interval at which a delayed prompt checks whether the slow phase has ended; half the duration of a fast pass.
         */
        val DELAY_POLL_INTERVAL = 20.milliseconds

        /**
         * Fraction of the latency target for which a prompt may be delayed; even at high load, the prompt is read in
         * the rest.
         */
        const val MAXIMUM_DELAY_FRACTION = 0.5
    }
}
