package io.kumquattrail.measure.fleet

import io.kumquattrail.decision.configuration.RecordDelta
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Stands in for the configuration service: answers reads within milliseconds, holds watches back until something newer
 * is published, and counts each call. Each read reaches one of three replicas, some of which can be stale.
 */
internal class ServiceStandIn(
    private val queue: VirtualTimeQueue,
    private val published: PublishedFleet,
    private val random: Random,
) {
    var isDown = false

    /** What stale replicas return, or `null` when no replica is stale. */
    var staleDelta: ((Long) -> RecordDelta)? = null
    var staleReplicas = 0

    /** Calls begun in each second of virtual time. */
    val callsBySecond = HashMap<Long, Int>()
    private val watches = ArrayList<Watch>()

    /** Largest number of calls in one second: those begun in it and the watches that waited in it. */
    var peakCallsPerSecond = 0
        private set

    fun read(
        after: Long,
        wait: Duration,
        answered: (RecordDelta) -> Unit,
        failed: () -> Unit,
    ) {
        val second = (queue.now.nanoseconds / NANOSECONDS_PER_SECOND)
        val calls = (callsBySecond[second] ?: 0) + 1
        callsBySecond[second] = calls
        peakCallsPerSecond = maxOf(peakCallsPerSecond, calls + watches.size)
        val delay = 2.milliseconds + 4.milliseconds * random.nextDouble()
        val isStale = random.nextInt(REPLICAS) < staleReplicas
        val delta = if (isStale) checkNotNull(staleDelta)(after) else published.delta(after)
        when {
            isDown -> queue.after(1.seconds) { failed() }
            delta.to > after || wait == Duration.ZERO -> queue.after(delay) { answered(delta) }
            else -> watch(after, wait, isStale, answered, failed)
        }
    }

    /** Ends the watches that wait for a change. */
    fun changed() {
        val ended = watches.filter { !it.isStale }
        watches.removeAll(ended.toSet())
        ended.forEach { watch ->
            watch.isEnded = true
            queue.after(
                2.milliseconds + 4.milliseconds * random.nextDouble(),
            ) { watch.answered(published.delta(watch.after)) }
        }
    }

    /** Breaks all watches, as a service does that goes down. */
    fun goDown() {
        isDown = true
        val ended = watches.toList()
        watches.clear()
        ended.forEach {
            it.isEnded = true
            it.failed()
        }
    }

    private fun watch(
        after: Long,
        wait: Duration,
        isStale: Boolean,
        answered: (RecordDelta) -> Unit,
        failed: () -> Unit,
    ) {
        val watch = Watch(after, isStale, answered, failed)
        watches += watch
        queue.after(wait) {
            if (!watch.isEnded) {
                watches -= watch
                answered(RecordDelta(after, after, emptyList()))
            }
        }
    }

    private class Watch(
        val after: Long,
        val isStale: Boolean,
        val answered: (RecordDelta) -> Unit,
        val failed: () -> Unit,
        var isEnded: Boolean = false,
    )

    private companion object {
        const val REPLICAS = 3
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}
