package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Models the passes of a group whose popularity shifts, with the figures that the standard deployments publish.
 *
 * All ranks execute a pass together: four token steps, in which each rank writes one token of each of its streams and
 * reads a chunk of its prompts. The expert share of that work takes as long as on the most loaded rank. The bench showed
 * passes of 45 to 60 ms in order and of 93 to 132 ms after a shift, at 60 prompts a second.
 */
class GroupPasses(
    private val random: Random,
    private val promptsPerSecond: Double = 60.0,
    private val mapFollowsAfter: Duration = 700.milliseconds,
    private val hold: PromptHold?,
) {
    private class Prompt(
        val arrived: MonotonicTime,
        val rank: Int,
        var tokensLeft: Double,
        var eventsLeft: Int,
        val spread: Double,
        var longestPause: Duration = Duration.ZERO,
        var firstEventAfter: Duration? = null,
    )

    private var now = MonotonicTime.ZERO + 60.seconds
    private val waiting = ArrayList<Prompt>()
    private val running = ArrayList<Prompt>()
    private val finished = ArrayList<Prompt>()
    private var nextArrival = now

    /** Plays [time] with a shift every [shiftEvery]. */
    fun play(
        time: Duration,
        shiftEvery: Duration,
    ) {
        val began = now
        while (now - began < time) {
            arrive()
            waiting
                .filter {
                    !(
                        hold?.holdFor(
                            it.arrived,
                            now,
                            SPARE,
                            it.spread,
                        ) ?: Duration.ZERO
                    ).isPositive()
                }.forEach {
                    waiting.remove(it)
                    running += it
                }
            val sinceShift = ((now - began).inWholeMilliseconds % shiftEvery.inWholeMilliseconds).milliseconds
            pass(isShifted = sinceShift < mapFollowsAfter)
        }
    }

    /** Share of the streams with a pause over [limit] or a first event later than [target]. */
    fun lateShare(
        limit: Duration,
        target: Duration,
    ): Double =
        finished.count { it.longestPause > limit || checkNotNull(it.firstEventAfter) > target } /
            finished.size.toDouble()

    private fun arrive() {
        while (nextArrival <= now) {
            val events = (MEAN_EVENTS * exp(LENGTH_SPREAD * gaussian() - LENGTH_SPREAD * LENGTH_SPREAD / 2)).toInt()
            waiting +=
                Prompt(
                    arrived = nextArrival,
                    rank = random.nextInt(RANKS),
                    tokensLeft = MEAN_PROMPT,
                    eventsLeft = events.coerceIn(2, MOST_EVENTS),
                    spread = random.nextDouble(),
                )
            nextArrival += (-ln(1 - random.nextDouble()) / promptsPerSecond).seconds
        }
    }

    private fun pass(isShifted: Boolean) {
        val imbalance = if (isShifted) SHIFTED_IMBALANCE else USUAL_IMBALANCE
        var length = 0.0
        val read = HashSet<Prompt>()
        repeat(STEPS) {
            val work = DoubleArray(RANKS)
            val room = DoubleArray(RANKS) { CHUNK }
            running.forEach { prompt ->
                if (prompt.tokensLeft > 0) {
                    val chunk = minOf(prompt.tokensLeft, room[prompt.rank])
                    room[prompt.rank] -= chunk
                    prompt.tokensLeft -= chunk
                    work[prompt.rank] += chunk / TOKENS_PER_MILLISECOND
                    read += prompt
                } else if (prompt !in read) {
                    work[prompt.rank] += STEP_PER_STREAM
                }
            }
            length += (1 - EXPERT_SHARE) * (STEP + work.max()) + EXPERT_SHARE * (STEP + work.average()) * imbalance
        }
        val copying = if (isShifted) COPYING else 1.0
        val pause = if (running.isEmpty()) 1.milliseconds else (length * copying).milliseconds
        now += pause
        running.toList().forEach { prompt -> event(prompt, pause) }
    }

    private fun event(
        prompt: Prompt,
        pause: Duration,
    ) {
        if (prompt.tokensLeft > 0) return
        if (prompt.firstEventAfter == null) {
            prompt.firstEventAfter = now - prompt.arrived
        } else {
            prompt.longestPause = maxOf(prompt.longestPause, pause)
            hold?.observed(pause, tolerated = 60.milliseconds, now = now)
        }
        prompt.eventsLeft -= 1
        if (prompt.eventsLeft == 0) {
            running.remove(prompt)
            finished += prompt
        }
    }

    private fun gaussian(): Double = (1..GAUSSIAN_TERMS).sumOf { random.nextDouble() } - GAUSSIAN_TERMS / 2

    private companion object {
        const val RANKS = 16

        /** Half of a latency target of 500 ms. */
        val SPARE = 250.milliseconds
        const val STEPS = 4

        /** Milliseconds of a step, of a stream in it, and tokens that are read in one, as the engine publishes them. */
        const val STEP = 4.55
        const val STEP_PER_STREAM = 0.905
        const val TOKENS_PER_MILLISECOND = 61.4
        const val CHUNK = 512.0
        const val EXPERT_SHARE = 0.85

        /** Load of the most loaded rank against the mean, as measured at the looks at the map. */
        const val USUAL_IMBALANCE = 1.25
        const val SHIFTED_IMBALANCE = 3.3

        /** Passes take so much longer while ranks copy experts, for part of the time. */
        const val COPYING = 1.06

        const val MEAN_PROMPT = 800.0
        const val MEAN_EVENTS = 24.0
        const val MOST_EVENTS = 60
        const val LENGTH_SPREAD = 0.7
        const val GAUSSIAN_TERMS = 12
    }
}
