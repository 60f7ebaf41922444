package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request that waits in the queue for a free slot at a server.
 *
 * @property priority rank of the request; 0 is served first.
 * @property latestStart last time at which starting the request still meets its latency target.
 */
class QueuedRequest(
    val priority: Int,
    val enteredAt: MonotonicTime,
    val latestStart: MonotonicTime,
)

/** Decision whether a request may wait in the queue. */
sealed interface QueueingDecision {
    /** The request may wait. */
    data object Wait : QueueingDecision

    /** The request is refused at once; a slot is likely to be free after [retryAfter]. */
    data class Refuse(
        val expectedWait: Duration,
        val retryAfter: Duration,
    ) : QueueingDecision
}

/**
 * Queue of the requests of a service that wait for capacity. It decides which requests may wait and which are refused
 * at once, and gives the order in which they are served.
 *
 * Load pattern: more requests arrive than the servers can finish. A request that would get a free slot too late for its
 * latency target is refused on arrival, so that admitted requests are on time and no caller waits in vain. Refused
 * callers are told to retry when the current queue has been served, with jitter so that they do not return together.
 *
 * @property rateWindow time over which the rate of completed requests is measured.
 */
class RequestQueue(
    private val rateWindow: Duration = 2.seconds,
) {
    private val waiting = ArrayList<QueuedRequest>()
    private val endTimes = ArrayDeque<MonotonicTime>()

    /** Number of waiting requests. */
    val size: Int get() = waiting.size

    /** Records that a request of the service has ended and freed its slot. */
    fun slotFreed(now: MonotonicTime) {
        endTimes.addLast(now)
        while (endTimes.isNotEmpty() && now - endTimes.first() > rateWindow) endTimes.removeFirst()
    }

    /**
     * Decides whether a request of [priority] that finds no free slot may wait. It must start by [latestStart].
     *
     * @param jitter a number from 0 to 1 that differs between requests.
     */
    fun decide(
        priority: Int,
        latestStart: MonotonicTime,
        now: MonotonicTime,
        jitter: Double,
    ): QueueingDecision {
        val ahead = waiting.count { it.priority <= priority } + 1
        val expectedWait = meanInterval(now) * ahead
        if (now + expectedWait <= latestStart) return QueueingDecision.Wait
        val timeToServeAll = meanInterval(now) * (waiting.size + 1)
        val retryAfter = (timeToServeAll + MINIMUM_RETRY_AFTER) * (1 + jitter)
        return QueueingDecision.Refuse(
            expectedWait = expectedWait,
            retryAfter = retryAfter.coerceIn(MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER),
        )
    }

    /** Adds [request] to the queue. */
    fun enter(request: QueuedRequest) {
        waiting += request
    }

    /** Removes [request], which has a slot or no longer waits. */
    fun leave(request: QueuedRequest) {
        waiting.remove(request)
    }

    /** Returns the waiting requests, the next one first: by priority, then by arrival. */
    fun inOrder(): List<QueuedRequest> = waiting.sortedWith(compareBy({ it.priority }, { it.enteredAt }))

    private fun meanInterval(now: MonotonicTime): Duration {
        while (endTimes.isNotEmpty() && now - endTimes.first() > rateWindow) endTimes.removeFirst()
        return if (endTimes.isEmpty()) rateWindow else rateWindow / endTimes.size
    }

    private companion object {
        /** Shortest time that a refused caller is told to wait; about the duration of one short request. */
        val MINIMUM_RETRY_AFTER = 200.milliseconds

        /** Longest time that a refused caller is told to wait; callers honour at most a third of their timeout. */
        val MAXIMUM_RETRY_AFTER = 2.seconds
    }
}
