package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request that waits for room at a server.
 *
 * @property priority rank of the request; 0 is served first.
 * @property latestStart time after which starting it no longer meets its latency target.
 */
class WaitingRequest(
    val priority: Int,
    val enteredAt: MonotonicTime,
    val latestStart: MonotonicTime,
)

/** Says whether a request may wait for room. */
sealed interface WaitingDecision {
    /** The request waits. */
    data object Wait : WaitingDecision

    /** The request is refused at once; room is likely after [retryAfter]. */
    data class Refuse(
        val expectedWait: Duration,
        val retryAfter: Duration,
    ) : WaitingDecision
}

/**
 * Decides which requests of a service wait for room, which one is next, and which are refused at once.
 *
 * Load pattern: more requests arrive than the servers can finish. A request that would get room only after its latency
 * target is refused on arrival, so those that are admitted are on time and no caller waits for nothing. Refused callers
 * are told to come back when the present line is gone, spread so that they don't return together.
 */
class WaitingLine(
    private val rateWindow: Duration = 2.seconds,
) {
    private val waiting = ArrayList<WaitingRequest>()
    private val endings = ArrayDeque<MonotonicTime>()

    /** Number of requests that wait. */
    val size: Int get() = waiting.size

    /** Records that a request of the service has ended and left room. */
    fun roomLeft(now: MonotonicTime) {
        endings.addLast(now)
        while (endings.isNotEmpty() && now - endings.first() > rateWindow) endings.removeFirst()
    }

    /**
     * Decides on a request of [priority] that finds no room and has until [latestStart] to start.
     *
     * @param spread a number from 0 to 1 that differs between requests.
     */
    fun decide(
        priority: Int,
        latestStart: MonotonicTime,
        now: MonotonicTime,
        spread: Double,
    ): WaitingDecision {
        val ahead = waiting.count { it.priority <= priority } + 1
        val expectedWait = interval(now) * ahead
        if (now + expectedWait <= latestStart) return WaitingDecision.Wait
        val untilLineIsGone = interval(now) * (waiting.size + 1)
        val retryAfter = (untilLineIsGone + SHORTEST_RETURN) * (1 + spread)
        return WaitingDecision.Refuse(
            expectedWait = expectedWait,
            retryAfter = retryAfter.coerceIn(SHORTEST_RETURN, LONGEST_RETURN),
        )
    }

    /** Adds [request] to the line. */
    fun enter(request: WaitingRequest) {
        waiting += request
    }

    /** Removes [request], which has found room or given up. */
    fun leave(request: WaitingRequest) {
        waiting.remove(request)
    }

    /** Returns the waiting requests, the next one first: by priority, then by arrival. */
    fun inOrder(): List<WaitingRequest> = waiting.sortedWith(compareBy({ it.priority }, { it.enteredAt }))

    private fun interval(now: MonotonicTime): Duration {
        while (endings.isNotEmpty() && now - endings.first() > rateWindow) endings.removeFirst()
        return if (endings.isEmpty()) rateWindow else rateWindow / endings.size
    }

    private companion object {
        /** Shortest time that a refused caller is told to wait; about one short request at a server. */
        val SHORTEST_RETURN = 200.milliseconds

        /** Longest time that a refused caller is told to wait; callers honour a third of their time at most. */
        val LONGEST_RETURN = 2.seconds
    }
}
