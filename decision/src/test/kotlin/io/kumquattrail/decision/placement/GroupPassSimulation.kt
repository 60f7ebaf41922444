package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates the passes of a group while the popularity of its experts shifts, with the figures that the engines of the
 * standard deployments publish.
 *
 * All ranks execute a pass together: four token steps, in which each rank writes one token of each of its streams and
 * reads a chunk of its prompts. The part of that work that experts do takes as long as on the most loaded rank. On the
 * test bench, at 60 prompts per second, passes took 45 to 60 ms with a current expert map and 93 to 132 ms after a
 * shift.
 */
class GroupPassSimulation(
    private val random: Random,
    private val promptsPerSecond: Double = 60.0,
    private val mapDelay: Duration = 700.milliseconds,
    private val promptDelay: PromptDelay?,
) {
    private class Prompt(
        val arrived: MonotonicTime,
        val rank: Int,
        var tokensLeft: Double,
        var eventsLeft: Int,
        val jitter: Double,
        var longestPause: Duration = Duration.ZERO,
        var firstEventAfter: Duration? = null,
    )

    private var now = MonotonicTime.ZERO + 60.seconds
    private val waiting = ArrayList<Prompt>()
    private val running = ArrayList<Prompt>()
    private val finished = ArrayList<Prompt>()
    private var nextArrival = now

    /** Runs for [time] with a shift of popularity every [shiftEvery]. */
    fun simulate(
        time: Duration,
        shiftEvery: Duration,
    ) {
        val start = now
        while (now - start < time) {
            addArrivals()
            waiting
                .filter {
                    !(
                        promptDelay?.remainingDelay(
                            it.arrived,
                            now,
                            SPARE,
                            it.jitter,
                        ) ?: Duration.ZERO
                    ).isPositive()
                }.forEach {
                    waiting.remove(it)
                    running += it
                }
            val sinceShift = ((now - start).inWholeMilliseconds % shiftEvery.inWholeMilliseconds).milliseconds
            pass(isShifted = sinceShift < mapDelay)
        }
    }

    /** Returns the fraction of streams with a pause over [limit] or a first event later than [target]. */
    fun lateFraction(
        limit: Duration,
        target: Duration,
    ): Double =
        finished.count { it.longestPause > limit || checkNotNull(it.firstEventAfter) > target } /
            finished.size.toDouble()

    private fun addArrivals() {
        while (nextArrival <= now) {
            val events = (MEAN_EVENTS * exp(LENGTH_SIGMA * gaussian() - LENGTH_SIGMA * LENGTH_SIGMA / 2)).toInt()
            waiting +=
                Prompt(
                    arrived = nextArrival,
                    rank = random.nextInt(RANKS),
                    tokensLeft = MEAN_PROMPT_TOKENS,
                    eventsLeft = events.coerceIn(2, MAXIMUM_EVENTS),
                    jitter = random.nextDouble(),
                )
            nextArrival += (-ln(1 - random.nextDouble()) / promptsPerSecond).seconds
        }
    }

    private fun pass(isShifted: Boolean) {
        val imbalance = if (isShifted) SHIFTED_IMBALANCE else CURRENT_MAP_IMBALANCE
        var passMilliseconds = 0.0
        val readingPrompts = HashSet<Prompt>()
        repeat(STEPS) {
            val work = DoubleArray(RANKS)
            val capacity = DoubleArray(RANKS) { CHUNK_TOKENS }
            running.forEach { prompt ->
                if (prompt.tokensLeft > 0) {
                    val chunk = minOf(prompt.tokensLeft, capacity[prompt.rank])
                    capacity[prompt.rank] -= chunk
                    prompt.tokensLeft -= chunk
                    work[prompt.rank] += chunk / TOKENS_PER_MILLISECOND
                    readingPrompts += prompt
                } else if (prompt !in readingPrompts) {
                    work[prompt.rank] += MILLISECONDS_PER_STREAM
                }
            }
            passMilliseconds +=
                (1 - EXPERT_FRACTION) * (STEP_MILLISECONDS + work.max()) +
                EXPERT_FRACTION * (STEP_MILLISECONDS + work.average()) * imbalance
        }
        val copySlowdown = if (isShifted) COPY_SLOWDOWN else 1.0
        val pause = if (running.isEmpty()) 1.milliseconds else (passMilliseconds * copySlowdown).milliseconds
        now += pause
        running.toList().forEach { prompt -> deliverEvent(prompt, pause) }
    }

    private fun deliverEvent(
        prompt: Prompt,
        pause: Duration,
    ) {
        if (prompt.tokensLeft > 0) return
        if (prompt.firstEventAfter == null) {
            prompt.firstEventAfter = now - prompt.arrived
        } else {
            prompt.longestPause = maxOf(prompt.longestPause, pause)
            promptDelay?.recordPause(pause, toleratedPause = 60.milliseconds, now = now)
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

        /** Time of a step and of each stream in it, and prompt tokens read in a step, as the engine publishes them. */
        const val STEP_MILLISECONDS = 4.55
        const val MILLISECONDS_PER_STREAM = 0.905
        const val TOKENS_PER_MILLISECOND = 61.4
        const val CHUNK_TOKENS = 512.0
        const val EXPERT_FRACTION = 0.85

        /** Load of the most loaded rank relative to the mean, with a current expert map and after a shift. */
        const val CURRENT_MAP_IMBALANCE = 1.25
        const val SHIFTED_IMBALANCE = 3.3

        /** Factor by which passes take longer after a shift, as ranks copy experts for part of the time. */
        const val COPY_SLOWDOWN = 1.06

        const val MEAN_PROMPT_TOKENS = 800.0
        const val MEAN_EVENTS = 24.0
        const val MAXIMUM_EVENTS = 60
        const val LENGTH_SIGMA = 0.7
        const val GAUSSIAN_TERMS = 12
    }
}
