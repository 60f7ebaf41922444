package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides how long new prompts wait while the streams of a group are slowed by a shift of popularity.
 *
 * Load pattern: many streams write, new prompts arrive all the time, and popularity shifts. Until the expert map
 * follows, work on tokens takes two to three times as long, for all ranks. Prompts that are read in these passes push
 * the pauses of all streams over what their callers accept, while a prompt itself has time to spare until its first
 * event is due. So prompts wait for the new map, but no longer than they can spare.
 *
 * @property longestPhase time in which a map follows a shift; a group that is slow for longer is slow for other reasons.
 * @property rest time between two phases; popularity shifts every few seconds.
 */
class PromptHold(
    private val longestPhase: Duration = 600.milliseconds,
    private val rest: Duration = 2.seconds,
) {
    /** Usual pause between two events, which follows the present one slowly; `null` before the first. */
    var usual: Duration? = null
        private set
    private var observedAt = MonotonicTime.ZERO
    private var slowInRow = 0
    private var phaseBegan: MonotonicTime? = null
    private var phaseEnds: MonotonicTime? = null

    /**
     * Takes in a pause between two events of one stream; up to [tolerated] callers do not mind.
     *
     * Returns whether a slow phase begins.
     */
    fun observed(
        pause: Duration,
        tolerated: Duration,
        now: MonotonicTime,
    ): Boolean {
        val known = usual ?: pause
        val isSlow = pause > tolerated && pause > known * SLOWDOWN
        slowInRow = if (isSlow) slowInRow + 1 else 0
        if (!isSlow) phaseEnds = phaseEnds?.coerceAtMost(now)
        val mayBegin = phaseBegan?.let { now - it >= rest } ?: true
        val begins = slowInRow >= LEAST_SLOW && mayBegin
        if (begins) {
            phaseBegan = now
            phaseEnds = now + longestPhase
        }
        val weight = ((now - observedAt) / MEMORY).coerceIn(0.0, 1.0)
        usual = known + (pause - known) * weight
        observedAt = now
        return begins
    }

    /**
     * Returns how much longer a prompt waits that [arrived] at some time; it may end sooner.
     *
     * @param spare time that the prompt can spare of its latency target.
     * @param spread a number from 0 to 1 that differs between prompts, so that those of a phase are not read in one pass.
     */
    fun holdFor(
        arrived: MonotonicTime,
        now: MonotonicTime,
        spare: Duration,
        spread: Double,
    ): Duration {
        val began = phaseBegan ?: return Duration.ZERO
        val ends = phaseEnds ?: return Duration.ZERO
        // Only prompts that met the phase are spread; one that comes later is one of few.
        if (arrived >= ends || ends <= began) return Duration.ZERO
        return minOf(ends + SPREAD * spread - now, arrived + spare - now).coerceAtLeast(Duration.ZERO)
    }

    private companion object {
        /** Ratio to the usual pause from which a pass counts as slow; prompts alone make passes a third longer. */
        const val SLOWDOWN = 1.5

        /** Streams in a row that must show it; all streams of a group show a slow pass. */
        const val LEAST_SLOW = 3

        /** Time over which the prompts of a phase start after it; two passes. */
        val SPREAD = 150.milliseconds

        /** Time over which the usual pause follows the present one. */
        val MEMORY = 2.seconds
    }
}
