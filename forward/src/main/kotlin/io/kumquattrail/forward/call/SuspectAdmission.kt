package io.kumquattrail.forward.call

import io.kumquattrail.decision.suspect.CrashLedgerLimits
import io.kumquattrail.decision.suspect.PromptPartDecision
import io.kumquattrail.decision.suspect.Suspicion
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The refusal of a call that may crash servers.
 *
 * @property reason reason as it is logged.
 */
internal data class SuspectRefusal(
    val reason: String,
    val retryAfter: Duration,
)

/**
 * Decides whether calls may run that are suspected of crashing servers, as a whole or for a part of their prompt. Must be
 * used on the event loop only.
 */
internal class SuspectAdmission(
    private val fatalRequests: FatalRequestGuard,
    private val promptParts: PromptPartGuard,
) {
    /** Returns `null` if [call] may run, after a short wait if that settles the question, and its refusal otherwise. */
    suspend fun check(call: Call): SuspectRefusal? = checkRequest(call) ?: checkPromptParts(call)

    private suspend fun checkRequest(call: Call): SuspectRefusal? {
        var suspicion = fatalRequests.judge(call)
        // Other gateways report the crashes that they have seen within this time, and waiting costs the caller less
        // than a retry.
        while (suspicion is Suspicion.Deferred && suspicion.remaining <= SHORT_DEFERRAL) {
            delay(suspicion.remaining)
            suspicion = fatalRequests.judge(call)
        }
        return when (suspicion) {
            Suspicion.None, is Suspicion.Suspect -> null
            is Suspicion.Deferred -> SuspectRefusal("may_end_servers", suspicion.remaining)
            is Suspicion.Fatal -> SuspectRefusal("ends_servers", suspicion.remaining)
        }
    }

    private suspend fun checkPromptParts(call: Call): SuspectRefusal? {
        val startedAt = ProcessClock.monotonic()
        while (true) {
            when (val decision = promptParts.decide(call)) {
                PromptPartDecision.Run, is PromptPartDecision.Try -> {
                    return null
                }

                PromptPartDecision.Wait -> {
                    if (ProcessClock.monotonic() - startedAt > call.route.latencyTarget * TRIAL_LATENCY_TARGETS) {
                        return SuspectRefusal("part_on_trial", TRIAL_BACKOFF)
                    }
                    delay(TRIAL_POLL_INTERVAL)
                }

                is PromptPartDecision.Refuse -> {
                    if (decision.isFatal) return SuspectRefusal("part_crashes_servers", decision.remaining)
                    if (decision.remaining > SHORT_DEFERRAL) {
                        return SuspectRefusal("part_may_crash_servers", decision.remaining)
                    }
                    delay(decision.remaining)
                }
            }
        }
    }

    companion object {
        /**
         * Longest deferral for which a suspect waits at the gateway: the time in which gateways report a crash to each
         * other.
         */
        val SHORT_DEFERRAL = CrashLedgerLimits().settlingTime

        /** Interval at which a request that waits for a trial checks its result; short against a latency target. */
        private val TRIAL_POLL_INTERVAL = 10.milliseconds

        /**
         * Time for which a request waits for a trial, in latency targets. A late answer is better for its caller than a
         * refusal, and a trial on a busy server takes longer than the target.
         */
        private const val TRIAL_LATENCY_TARGETS = 3

        /** Retry-After when a trial takes longer than a response should; it ends at the latest when its caller leaves. */
        private val TRIAL_BACKOFF = 500.milliseconds
    }
}
