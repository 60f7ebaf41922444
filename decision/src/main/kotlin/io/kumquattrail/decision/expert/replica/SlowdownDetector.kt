package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Detects from the pauses between the events of streams that the passes of a group have become longer.
 *
 * Load pattern: the popularity of experts shifts while requests run. All ranks work in lockstep, so the pauses of every
 * stream of the group show the pass time. A shift is therefore detected within a few passes, without the cost of
 * reading expert counts.
 *
 * @property window time for which a pause counts towards the pass time; several passes of a slow group.
 * @property slowdownRatio ratio of the pass time to the reference above which the group counts as slower.
 * @property settlingTime time after a change in which pauses that began before the change end.
 */
class SlowdownDetector(
    private val window: Duration = 600.milliseconds,
    private val slowdownRatio: Double = 1.25,
    private val settlingTime: Duration = 150.milliseconds,
) {
    private val pauses = ArrayDeque<Pause>()
    private var reference: Duration? = null
    private var settledAt = MonotonicTime(Long.MIN_VALUE)

    /** Whether any recorded pause is left; old pauses and those before the latest map change are discarded. */
    val hasPauses: Boolean get() = pauses.isNotEmpty()

    /** Records a pause between two events of one stream. */
    fun recordPause(
        pause: Duration,
        now: MonotonicTime,
    ) {
        pauses.addLast(Pause(now, pause))
        while (pauses.isNotEmpty() && now - pauses.first().at > window) pauses.removeFirst()
    }

    /**
     * Discards the recorded pauses after the map of the group has changed. The shortest pass time so far remains the
     * reference, with a small tolerance, so that a shift during the change is detected right after it.
     */
    fun onMapChanged(now: MonotonicTime) {
        pauses.clear()
        reference = reference?.let { it * REFERENCE_GROWTH }
        settledAt = now + settlingTime
    }

    /** Uses the current pass time as the reference, because the map of the group needs no change. */
    fun useCurrentAsReference(now: MonotonicTime) {
        reference = passTime(now)
        settledAt = now + settlingTime
    }

    /**
     * Returns whether the group has become slower than the reference and pauses are longer than [tolerated]. Without a
     * reference, pauses longer than [tolerated] are enough.
     */
    fun hasSlowed(
        tolerated: Duration,
        now: MonotonicTime,
    ): Boolean {
        val current = passTime(now) ?: return false
        if (now < settledAt) return false
        // Without a reference, a group that is too slow for its callers is reported as slowed. Its pass time does not
        // become the reference, because a process that starts to monitor after a shift would take it as normal.
        val effectiveReference = reference ?: current.takeIf { it <= tolerated } ?: return true
        reference = minOf(effectiveReference, current)
        return current > tolerated && current > effectiveReference * slowdownRatio
    }

    /** Returns whether pauses are currently longer than [tolerated]. */
    fun isSlowerThan(
        tolerated: Duration,
        now: MonotonicTime,
    ): Boolean = passTime(now)?.let { it > tolerated } ?: false

    /** Returns the current pass time, as the median of the latest pauses, or `null` if there are too few of them. */
    fun passTime(now: MonotonicTime): Duration? {
        while (pauses.isNotEmpty() && now - pauses.first().at > window) pauses.removeFirst()
        if (pauses.size < LEAST_PAUSES) return null
        val latest = pauses.takeLast(MOST_PAUSES).map { it.length.inWholeNanoseconds }.sorted()
        return latest[latest.size / 2].nanoseconds
    }

    private class Pause(
        val at: MonotonicTime,
        val length: Duration,
    )

    private companion object {
        /** Fewest pauses for a meaningful median. */
        const val LEAST_PAUSES = 6

        /** Latest pauses in the median; about those of one pass at a process with a fifth of the group's streams. */
        const val MOST_PAUSES = 12

        /** Growth of the reference with each change, as later traffic may be heavier. */
        const val REFERENCE_GROWTH = 1.05
    }
}
