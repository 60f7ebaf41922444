package io.kumquattrail.measure.routing

import io.kumquattrail.decision.admission.ServerLimits
import io.kumquattrail.decision.routing.PrefixBlock
import io.kumquattrail.decision.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes the speed and size of a runner.
 *
 * @property slowness factor over the step time of a normal runner.
 * @property completionsPerDoubling completed requests after which a cold runner bears twice as much.
 */
internal data class RunnerProfile(
    val limits: ServerLimits,
    val slowness: Double = 1.0,
    val cacheTokens: Long = 120_000,
    val completionsPerDoubling: Int = 6,
    val startsCold: Boolean = false,
)

/** Receives what a runner does. */
internal interface RunnerListener {
    fun onFirstToken(job: RunnerJob)

    fun onFinished(job: RunnerJob)

    fun onBroken(job: RunnerJob)

    fun onCacheChange(change: PrefixCacheModel.Change)
}

/** Is a request as a runner sees it. */
internal class RunnerJob(
    val promptTokens: Int,
    val outputTokens: Int,
    val prefix: List<PrefixBlock>,
    val reference: Attempt,
) {
    var remainingPrompt = -1
    var lastStep = 0L
    var firstStep = 0L
}

/**
 * Models a runner with continuous batching.
 *
 * Each step yields a token for every generating request and processes a chunk of waiting prompts. Its time grows with
 * the generating requests, the tokens that they hold, and the chunk.
 */
internal class RunnerModel(
    private val events: EventQueue,
    private val profile: RunnerProfile,
    private val figures: Figures,
) {
    lateinit var listener: RunnerListener

    private val cache = PrefixCacheModel(profile.cacheTokens)
    private val waiting = ArrayDeque<RunnerJob>()
    private val generating = PriorityQueue<RunnerJob>(compareBy { it.lastStep })
    private var heldTokens = 0L
    private var steps = 0L
    private var isStepping = false
    private var isStalled = false
    private var run = 0
    private var completions = 0
    private var coldSince: MonotonicTime? = if (profile.startsCold) events.now else null
    private var checkedFrom = events.now
    private var downUntil = MonotonicTime.ZERO

    /** Factor over the step time, such as of a straggler. */
    var slowdown = 1.0

    val incarnation: String get() = "$run"

    val running: Int get() = waiting.size + generating.size

    val isUp: Boolean get() = events.now >= downUntil

    /** Requests that the runner bears at this moment. */
    private val bearable: Int
        get() {
            if (coldSince == null) return profile.limits.warmConcurrency
            val doublings = (completions / profile.completionsPerDoubling).coerceAtMost(MAXIMUM_DOUBLINGS)
            return minOf(profile.limits.coldConcurrency shl doublings, profile.limits.warmConcurrency)
        }

    /** Starts [job]; a cold runner that receives more than it bears fails. */
    fun submit(job: RunnerJob) {
        waiting += job
        if (running > bearable && events.now >= checkedFrom) {
            figures.coldLimitViolations += 1
            crash()
            return
        }
        step()
    }

    /** Removes [job], as after the caller went away. */
    fun cancel(job: RunnerJob) {
        if (waiting.remove(job)) return
        if (generating.remove(job)) heldTokens -= job.promptTokens
    }

    /** Ends the run of the server; it is back, cold, after [RESTART_TIME]. */
    fun crash() {
        val broken = waiting.toList() + generating.toList()
        waiting.clear()
        generating.clear()
        heldTokens = 0
        run += 1
        downUntil = events.now + RESTART_TIME
        becomeCold(graceTime = Duration.ZERO)
        broken.forEach { listener.onBroken(it) }
    }

    /** Loses caches and warm state without a restart, and reloads for [STALL_TIME] before the next step. */
    fun becomeColdSilently(graceTime: Duration) {
        becomeCold(graceTime)
        isStalled = true
    }

    /** Loses caches and warm state; new work is checked against the cold bound after [graceTime]. */
    private fun becomeCold(graceTime: Duration) {
        cache.clear()
        completions = 0
        coldSince = events.now
        checkedFrom = events.now + graceTime
    }

    private fun step() {
        if (isStepping || running == 0) return
        isStepping = true
        val chunk = takeChunk()
        val cold = if (coldSince == null) 1.0 else COLD_SLOWNESS
        val microseconds =
            STEP_MICROSECONDS + generating.size * REQUEST_MICROSECONDS + heldTokens * HELD_TOKEN_MICROSECONDS +
                chunk * PROMPT_TOKEN_MICROSECONDS
        val stall = if (isStalled) STALL_TIME else Duration.ZERO
        isStalled = false
        val duration = (microseconds * profile.slowness * slowdown * cold).microseconds + stall
        val startedRun = run
        val tokens = generating.size
        events.after(duration) {
            isStepping = false
            if (startedRun == run) {
                figures.recordTokens(duration, tokens)
                completeStep()
            }
            step()
        }
    }

    /** Takes up to a chunk of prompt tokens from the waiting jobs and returns their number. */
    private fun takeChunk(): Int {
        var free = CHUNK_TOKENS
        for (job in waiting) {
            if (job.remainingPrompt < 0) {
                val cached = minOf(cache.cachedTokens(job.prefix), job.promptTokens)
                figures.recordPrompt(job.promptTokens, cached)
                job.remainingPrompt = job.promptTokens - cached
            }
            val taken = minOf(free, job.remainingPrompt)
            job.remainingPrompt -= taken
            free -= taken
            if (free == 0) break
        }
        return CHUNK_TOKENS - free
    }

    private fun completeStep() {
        steps += 1
        while (waiting.isNotEmpty() && waiting.first().remainingPrompt == 0) {
            val job = waiting.removeFirst()
            job.firstStep = steps
            job.lastStep = steps + job.outputTokens - 1
            generating += job
            heldTokens += job.promptTokens
            listener.onCacheChange(cache.store(job.prefix))
            listener.onFirstToken(job)
        }
        while (generating.isNotEmpty() && generating.peek().lastStep <= steps) {
            val job = generating.poll()
            heldTokens -= job.promptTokens
            completions += 1
            if (coldSince != null && bearable >= profile.limits.warmConcurrency) coldSince = null
            listener.onFinished(job)
        }
    }

    /** Returns the output tokens that [job] has so far. */
    fun outputTokens(job: RunnerJob): Int =
        if (job.firstStep == 0L) 0 else (steps - job.firstStep + 1).toInt().coerceAtMost(job.outputTokens)

    private companion object {
        const val CHUNK_TOKENS = 512
        const val STEP_MICROSECONDS = 12_000.0
        const val REQUEST_MICROSECONDS = 250.0
        const val HELD_TOKEN_MICROSECONDS = 0.04
        const val PROMPT_TOKEN_MICROSECONDS = 50.0
        const val COLD_SLOWNESS = 1.5
        const val MAXIMUM_DOUBLINGS = 16
        val RESTART_TIME = 3.seconds
        val STALL_TIME = 3.seconds
    }
}
