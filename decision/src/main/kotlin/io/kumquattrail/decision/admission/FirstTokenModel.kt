package io.kumquattrail.decision.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Learns how long a server takes to its first token, as a rate over the prompt tokens that it has to process before.
 *
 * @property milliseconds smoothed time to first token; 0 when unknown.
 */
data class FirstTokenModel(
    val milliseconds: Double = 0.0,
    private val millisecondsPerToken: Double = 0.0,
    private val samples: Int = 0,
) {
    /** Returns the expected time to first token after [promptTokens] tokens, or `null` with too few samples. */
    fun expected(promptTokens: Long): Duration? =
        if (samples < MINIMUM_SAMPLES) null else (millisecondsPerToken * work(promptTokens)).milliseconds

    /**
     * Returns the model after a first token that took [duration] with [promptTokens] tokens to process.
     *
     * A sample counts at most as twice the expectation, so that one late token does not widen what counts as late,
     * while a server that stays slow becomes the expectation.
     */
    fun observed(
        promptTokens: Long,
        duration: Duration,
    ): FirstTokenModel {
        val time = duration.toDouble(DurationUnit.MILLISECONDS)
        val rate = time / work(promptTokens)
        val weight = maxOf(SMOOTHING, 1.0 / (samples + 1))
        val bounded = if (samples < MINIMUM_SAMPLES) rate else minOf(rate, 2 * millisecondsPerToken)
        return FirstTokenModel(
            milliseconds = milliseconds + weight * (time - milliseconds),
            millisecondsPerToken = millisecondsPerToken + weight * (bounded - millisecondsPerToken),
            samples = samples + 1,
        )
    }

    private fun work(promptTokens: Long): Long = promptTokens + OVERHEAD_TOKENS

    private companion object {
        const val MINIMUM_SAMPLES = 8
        const val SMOOTHING = 0.1

        /** Prompt tokens whose processing takes as long as the fixed part of a request. */
        const val OVERHEAD_TOKENS = 256
    }
}
