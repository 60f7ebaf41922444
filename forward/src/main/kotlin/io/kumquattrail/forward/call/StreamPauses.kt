package io.kumquattrail.forward.call

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.placement.PromptHold
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.log.EventLog
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Measures the pauses between events of streams, and holds new prompts while those of their service are long. It is
 * used on the event loop only.
 */
internal class StreamPauses(
    private val log: EventLog,
    private val onEvent: (ServerName, MonotonicTime) -> Unit,
    private val onPause: (ServerName, Duration, MonotonicTime) -> Unit,
    private val random: Random,
) {
    private val promptHolds = HashMap<ServiceName, PromptHold>()

    /** Keeps the prompt of [call] back while the streams of its service are slowed by a shift. */
    suspend fun holdPrompt(call: Call) {
        val hold = promptHolds[call.service]?.takeIf { call.route.gapTarget != null } ?: return
        val began = ProcessClock.monotonic()
        val spread = random.nextDouble()
        while (true) {
            val left =
                hold.holdFor(
                    arrived = began,
                    now = ProcessClock.monotonic(),
                    spare = call.route.latencyTarget * SPARE_SHARE,
                    spread = spread,
                )
            if (!left.isPositive()) break
            delay(minOf(left, HOLD_POLL))
        }
        call.waited += ProcessClock.monotonic() - began
    }

    /** Records that an event of [call]'s stream, which [server] writes, has been passed on. */
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
        call.patience.observed(pause)
        onPause(server, pause, now)
        observe(call, pause, now)
        if (pause > call.longestPause) {
            call.longestPause = pause
            call.longestPauseEnd = now - call.exchange.arrived
        }
    }

    private fun observe(
        call: Call,
        pause: Duration,
        now: MonotonicTime,
    ) {
        val tolerated = call.route.toleratedPause ?: return
        val hold = promptHolds.getOrPut(call.service) { PromptHold() }
        if (!hold.observed(pause, tolerated, now)) return
        log.log(
            "streams_slowed",
            "service" to call.service,
            "pause_ms" to pause.inWholeMilliseconds,
            "usual_ms" to hold.usual?.inWholeMilliseconds,
        )
    }

    private companion object {
        /** Interval at which a held prompt looks for the end of the slow phase; half a fast pass. */
        val HOLD_POLL = 20.milliseconds

        /** Share of the latency target that a prompt can spare; reading it takes less than the rest, also at high load. */
        const val SPARE_SHARE = 0.5
    }
}
