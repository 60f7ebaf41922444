package io.kumquattrail.measure.matrix

import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.fleet.VirtualTimeQueue
import kotlin.time.Duration

/** Models a process that can be paused, end, and start again with nothing that it knew. */
internal abstract class ServingProcess(
    protected val queue: VirtualTimeQueue,
) {
    private var pausedUntil = MonotonicTime.ZERO

    /** Number of ends so far; input for an earlier run is dropped. */
    var life = 0
        private set
    var isUp = true
        private set

    /** Records in effect, or `null` before the process has learned any. */
    var records: ServingRecords? = null
        private set

    /** Runs [input] in the run [since] of the process, at the end of a pause if there is one. */
    fun receive(
        since: Int = life,
        input: () -> Unit,
    ) {
        if (!isUp || life != since) return
        if (queue.now < pausedUntil) queue.at(pausedUntil) { receive(since, input) } else input()
    }

    fun pause(duration: Duration) {
        pausedUntil = queue.now + duration
    }

    open fun end() {
        isUp = false
        life += 1
        records = null
        pausedUntil = MonotonicTime.ZERO
    }

    open fun start() {
        isUp = true
    }

    /** Takes in [read] unless its revision is not newer than that in effect. */
    fun learn(read: ServingRecords) {
        if (read.revision <= (records?.revision ?: -1)) return
        records = read
        recordsChanged(read)
    }

    protected abstract fun recordsChanged(records: ServingRecords)
}

/** Says which servers are out of service at [revision]. */
internal data class ServingRecords(
    val revision: Long,
    val outOfService: Set<Int> = emptySet(),
)
