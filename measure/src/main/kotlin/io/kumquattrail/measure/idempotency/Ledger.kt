package io.kumquattrail.measure.idempotency

import kotlin.time.Duration

/** Counts the runs of one key, independently of the decision code. */
class Ledger {
    private class Run(
        val callSentAt: Duration,
        val at: Duration,
    )

    private val runs = mutableListOf<Run>()
    private val notRunAnswers = mutableListOf<Duration>()

    val runCount: Int get() = runs.size

    /** Number of `run: no` answers before which the key ran, or after which a call sent earlier ran. */
    val falseNotRunCount: Int
        get() = notRunAnswers.count { answer -> runs.any { it.at <= answer || it.callSentAt <= answer } }

    /** Applies the operation on behalf of a call that the caller sent at [callSentAt]. */
    fun apply(
        callSentAt: Duration,
        now: Duration,
    ) {
        runs += Run(callSentAt = callSentAt, at = now)
    }

    /** Records that the caller has received `run: no`. */
    fun answeredNotRun(now: Duration) {
        notRunAnswers += now
    }
}
