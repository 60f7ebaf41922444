package io.kumquattrail.measure.routing

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.routing.AssignmentEnd
import io.kumquattrail.decision.routing.RoutingDecision
import io.kumquattrail.decision.routing.RoutingPolicy
import io.kumquattrail.decision.routing.RoutingRequest
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Sends calls through a routing policy, with retries of what has not run and resumption of what may be repeated. */
internal class GatewayModel(
    private val events: EventQueue,
    private val zone: ZoneName,
    val policy: RoutingPolicy,
    private val agent: (ServerName) -> AgentModel,
    private val figures: Figures,
    private val random: Random,
) {
    private var pausedUntil = MonotonicTime.ZERO

    /** Stops all processing of the gateway for [duration]; messages wait meanwhile. */
    fun pause(duration: Duration) {
        pausedUntil = events.now + duration
    }

    /** Runs [action] when the gateway receives a message after [delay]. */
    fun receive(
        delay: Duration,
        action: () -> Unit,
    ) {
        events.after(delay) { receiveNow(action) }
    }

    /** Runs [action] at once, or at the end of a pause. */
    fun receiveNow(action: () -> Unit) {
        if (events.now < pausedUntil) events.at(pausedUntil, action) else action()
    }

    fun submit(call: Call) = receive(Duration.ZERO) { attempt(call) }

    private fun attempt(call: Call) {
        if (events.now >= call.deadline) return refuse(call)
        val request =
            RoutingRequest(
                promptTokens = call.request.promptTokens + call.receivedTokens,
                outputTokens = (call.request.outputTokens - call.receivedTokens).coerceAtLeast(1),
                prefix = call.request.prefix,
                priority = call.request.priority,
                excluded = call.excluded,
            )
        val startedAt = System.nanoTime()
        val chosen = policy.choose(request, events.now)
        figures.recordDecision(System.nanoTime() - startedAt)
        when (val decision = chosen) {
            is RoutingDecision.Chosen -> {
                val attempt = Attempt(call, call.attempts++, decision.assignment, this)
                val receiver = agent(decision.assignment.server)
                events.after(latency(receiver)) { receiver.receive(attempt) }
            }

            is RoutingDecision.NoServer -> {
                retryLater(call)
            }
        }
    }

    fun onFirstToken(
        attempt: Attempt,
        sender: AgentModel,
    ) = receive(latency(sender)) {
        policy.onFirstToken(attempt.assignment, events.now)
        val call = attempt.call
        // A call that must not be repeated is answered as a whole, so its caller sees nothing of a broken response.
        if (call.firstTokenAt == null && call.request.isRepeatable) {
            call.firstTokenAt = events.now
            figures.recordFirstToken(events.now - call.submittedAt)
        }
    }

    fun onFinished(
        attempt: Attempt,
        outputTokens: Int,
        sender: AgentModel,
    ) = receive(latency(sender)) {
        policy.onEnd(attempt.assignment, AssignmentEnd.Completed, events.now)
        attempt.call.receivedTokens += outputTokens
        end(attempt.call, CallEnd.COMPLETED)
    }

    fun onNotRun(
        attempt: Attempt,
        retryAfter: Duration?,
        sender: AgentModel,
    ) = receive(latency(sender)) {
        policy.onEnd(attempt.assignment, AssignmentEnd.NotRun(retryAfter), events.now)
        attempt.call.excluded += attempt.assignment.server
        retry(attempt.call)
    }

    fun onBroken(
        attempt: Attempt,
        receivedTokens: Int,
        sender: AgentModel,
    ) = receive(latency(sender)) {
        policy.onEnd(attempt.assignment, AssignmentEnd.Broken, events.now)
        val call = attempt.call
        call.receivedTokens += receivedTokens
        call.excluded += attempt.assignment.server
        if (call.request.isRepeatable) retry(call) else end(call, CallEnd.REFUSED_UNKNOWN)
    }

    private fun retry(call: Call) {
        call.retries += 1
        if (call.retries % IMMEDIATE_RETRIES == 0) retryLater(call) else attempt(call)
    }

    /** Tries all servers again after a randomised pause, as long as the caller waits. */
    private fun retryLater(call: Call) {
        call.excluded.clear()
        call.retries += 1
        if (call.retries > MAXIMUM_RETRIES) return refuse(call)
        receive(PAUSE * (0.5 + random.nextDouble())) { attempt(call) }
    }

    private fun refuse(call: Call) = end(call, if (call.runs == 0) CallEnd.REFUSED_NOT_RUN else CallEnd.REFUSED_UNKNOWN)

    private fun end(
        call: Call,
        end: CallEnd,
    ) {
        if (call.hasEnded) return
        call.hasEnded = true
        call.onEnd(call, end)
    }

    private fun latency(other: AgentModel): Duration = if (other.zone == zone) WITHIN_ZONE else BETWEEN_ZONES

    private companion object {
        const val IMMEDIATE_RETRIES = 4
        const val MAXIMUM_RETRIES = 40
        val PAUSE = 150.milliseconds
        val WITHIN_ZONE = 200.microseconds
        val BETWEEN_ZONES = 800.microseconds
    }
}
