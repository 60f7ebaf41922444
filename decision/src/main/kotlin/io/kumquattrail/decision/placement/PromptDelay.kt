package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides how long new prompts are delayed while a shift of expert popularity slows the streams of a group.
 *
 * Load pattern: many streams are open, new prompts arrive all the time, and the popularity of experts shifts. Until the
 * expert map follows the shift, each token takes two to three times as long, on all ranks. Prompts that are read in
 * these passes push the pauses of all streams over the limit of their callers, while a prompt itself has time to spare
 * until its first event is due. Prompts are therefore delayed until the new map is in use, but by no more than their
 * spare time.
 *
 * @property longestPhase time in which the expert map follows a shift; a group that is slow for longer has another
 *   cause.
 * @property minimumPhaseInterval time from the start of a slow phase until the next one may start; popularity shifts
 *   every few seconds.
 */
class PromptDelay(
    private val longestPhase: Duration = 600.milliseconds,
    private val minimumPhaseInterval: Duration = 2.seconds,
) {
    /** Moving average of the pauses between two events of a stream; `null` before the first pause. */
    var averagePause: Duration? = null
        private set
    private var lastPauseAt = MonotonicTime.ZERO
    private var consecutiveSlowPauses = 0
    private var phaseStart: MonotonicTime? = null
    private var phaseEnd: MonotonicTime? = null

    /**
     * Records a pause between two events of one stream and returns whether a slow phase starts.
     *
     * @param toleratedPause pause up to which a stream does not count as slow.
     */
    fun recordPause(
        pause: Duration,
        toleratedPause: Duration,
        now: MonotonicTime,
    ): Boolean {
        val average = averagePause ?: pause
        val isSlow = pause > toleratedPause && pause > average * SLOWDOWN_RATIO
        consecutiveSlowPauses = if (isSlow) consecutiveSlowPauses + 1 else 0
        if (!isSlow) phaseEnd = phaseEnd?.coerceAtMost(now)
        val mayStart = phaseStart?.let { now - it >= minimumPhaseInterval } ?: true
        val starts = consecutiveSlowPauses >= MINIMUM_SLOW_PAUSES && mayStart
        if (starts) {
            phaseStart = now
            phaseEnd = now + longestPhase
        }
        val weight = ((now - lastPauseAt) / AVERAGING_TIME).coerceIn(0.0, 1.0)
        averagePause = average + (pause - average) * weight
        lastPauseAt = now
        return starts
    }

    /**
     * Returns the remaining delay of a prompt that arrived at [arrived]. The delay ends sooner if the slow phase does.
     *
     * @param spare part of the prompt's latency target that it may spend on the delay.
     * @param jitter number from 0 to 1 that differs between prompts, so that those of a phase are not read in one pass.
     */
    fun remainingDelay(
        arrived: MonotonicTime,
        now: MonotonicTime,
        spare: Duration,
        jitter: Double,
    ): Duration {
        val start = phaseStart ?: return Duration.ZERO
        val end = phaseEnd ?: return Duration.ZERO
        // Prompts that arrive after the phase are not delayed: too few arrive together to need jitter.
        if (arrived >= end || end <= start) return Duration.ZERO
        return minOf(end + RELEASE_JITTER * jitter - now, arrived + spare - now).coerceAtLeast(Duration.ZERO)
    }

    private companion object {
        /** Ratio to the average pause above which a pause counts as slow; prompts alone make passes a third longer. */
        const val SLOWDOWN_RATIO = 1.5

        /** Consecutive slow pauses that start a phase; a slow pass causes one on every stream of the group. */
        const val MINIMUM_SLOW_PAUSES = 3

        /** Time after a phase over which its prompts are released: two passes. */
        val RELEASE_JITTER = 150.milliseconds

        /** Time over which pauses are averaged. */
        val AVERAGING_TIME = 2.seconds
    }
}
