package io.kumquattrail.measure.matrix

import io.kumquattrail.decision.admission.ServerLimits
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.fleet.VirtualTimeQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives what a [ServingServer] does with one job. */
internal interface ServingJob {
    val tokens: Int

    fun token(index: Int)

    fun finished()

    fun broken()
}

/** Models a backend server that bears only a small load while it is cold. */
internal class ServingServer(
    private val queue: VirtualTimeQueue,
    private val coldLimitExceeded: (running: Int, bearable: Int) -> Unit,
) {
    private val jobs = LinkedHashSet<ServingJob>()
    private var run = 0
    private var completions = 0
    private var isCold = false
    private var checkedFrom = MonotonicTime.ZERO
    private var downUntil = MonotonicTime.ZERO
    private var stalledUntil = MonotonicTime.ZERO

    val incarnation: String get() = "$run"
    val running: Int get() = jobs.size
    val isUp: Boolean get() = queue.now >= downUntil

    private val bearable: Int
        get() =
            if (isCold) {
                minOf(LIMITS.coldConcurrency shl (completions / COMPLETIONS_PER_DOUBLING), LIMITS.warmConcurrency)
            } else {
                LIMITS.warmConcurrency
            }

    fun submit(job: ServingJob) {
        jobs += job
        if (running > bearable && queue.now >= checkedFrom) coldLimitExceeded(running, bearable)
        val stall = (stalledUntil - queue.now).coerceAtLeast(Duration.ZERO)
        nextToken(job, 0, FIRST_TOKEN + stall)
    }

    private fun nextToken(
        job: ServingJob,
        index: Int,
        delay: Duration,
    ) {
        queue.after(delay) {
            if (job !in jobs) return@after
            // A resumed job that has all its tokens ends without another one.
            if (index < job.tokens) job.token(index)
            if (index + 1 < job.tokens) return@after nextToken(job, index + 1, TOKEN)
            jobs -= job
            completions += 1
            if (bearable >= LIMITS.warmConcurrency) isCold = false
            job.finished()
        }
    }

    fun cancel(job: ServingJob) {
        jobs -= job
    }

    fun crash() {
        val broken = jobs.toList()
        jobs.clear()
        run += 1
        downUntil = queue.now + RESTART
        becomeCold(Duration.ZERO)
        broken.forEach { it.broken() }
    }

    /** Loses its caches without a restart; the cold limit covers the work of one first-token time. */
    fun becomeColdSilently() {
        becomeCold(FIRST_TOKEN_BOUND)
        stalledUntil = queue.now + STALL
    }

    private fun becomeCold(grace: Duration) {
        isCold = true
        completions = 0
        checkedFrom = queue.now + grace
    }

    companion object {
        const val COMPLETIONS_PER_DOUBLING = 6
        val LIMITS = ServerLimits(warmConcurrency = 8, warmTokens = 8_000, coldConcurrency = 2, coldTokens = 2_000)
        private val FIRST_TOKEN = 40.milliseconds
        private val TOKEN = 10.milliseconds
        private val RESTART = 500.milliseconds
        private val STALL = 3.seconds
        private val FIRST_TOKEN_BOUND = 1_600.milliseconds
    }
}
