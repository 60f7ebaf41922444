package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Notices from the pauses between events of streams that a group has become slower.
 *
 * Load pattern: the popularity of experts shifts while requests run. All ranks work in lockstep, so every stream of the
 * group shows the time of a pass, and a shift shows within a few passes, at no price, before any count is read.
 *
 * @property window time after which a pause says nothing of the present; several passes of a slow group.
 * @property settling time after a change until pauses that began before it are over.
 * @property slowdown ratio of the present pace to the reference at which the group counts as slower.
 */
class PaceWatch(
    private val window: Duration = 600.milliseconds,
    private val slowdown: Double = 1.25,
    private val settling: Duration = 150.milliseconds,
) {
    private val pauses = ArrayDeque<Pause>()
    private var reference: Duration? = null
    private var settlesAt = MonotonicTime(Long.MIN_VALUE)

    /** Whether the group has written anything since the last restart. */
    val isObserved: Boolean get() = pauses.isNotEmpty()

    /** Takes in a pause between two events of one stream. */
    fun observed(
        pause: Duration,
        now: MonotonicTime,
    ) {
        pauses.addLast(Pause(now, pause))
        while (pauses.isNotEmpty() && now - pauses.first().at > window) pauses.removeFirst()
    }

    /**
     * Begins anew after the group has changed. The best pace so far remains the reference, with some room, so that a
     * shift during the change is noticed right after it.
     */
    fun changed(now: MonotonicTime) {
        pauses.clear()
        reference = reference?.let { it * REFERENCE_GROWTH }
        settlesAt = now + settling
    }

    /** Takes the present pace as the reference, as the group was found in order. */
    fun foundInOrder(now: MonotonicTime) {
        reference = passTime(now)
        settlesAt = now + settling
    }

    /** Tells whether the group has become slower than the reference and pauses are longer than [tolerated]. */
    fun hasSlowed(
        tolerated: Duration,
        now: MonotonicTime,
    ): Boolean {
        val present = passTime(now) ?: return false
        if (now < settlesAt) return false
        // Without a reference, a group that does not satisfy its callers is worth a look, and its pace is no reference: a
        // process that begins to watch after a shift would take the slow pace for the usual one.
        val known = reference ?: present.takeIf { it <= tolerated } ?: return true
        reference = minOf(known, present)
        return present > tolerated && present > known * slowdown
    }

    /** Tells whether pauses are longer than [tolerated] now. */
    fun exceeds(
        tolerated: Duration,
        now: MonotonicTime,
    ): Boolean = passTime(now)?.let { it > tolerated } ?: false

    /** Returns the time between two passes that streams show now, or `null` when they show too little. */
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
        /** Pauses without which a median says little. */
        const val LEAST_PAUSES = 6

        /** Pauses of which the median is taken; about those of one pass at a process that serves a fifth of the group. */
        const val MOST_PAUSES = 12

        /** Growth of the reference with each change, as the traffic of a later time may be heavier. */
        const val REFERENCE_GROWTH = 1.05
    }
}
