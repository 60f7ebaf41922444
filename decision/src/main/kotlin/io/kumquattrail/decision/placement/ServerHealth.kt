package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [ServerHealth].
 *
 * @property firstAvoidance time for which a server is avoided after its first failed connection.
 * @property longestAvoidance limit of that time, which doubles with each further failed connection in a row. It bounds
 *   how long a server that has recovered stays unused.
 * @property halfLife time in which the failure rate falls to half without new requests.
 * @property outcomeWeight weight of the latest outcome in the failure rate, from 0 to 1.
 */
data class ServerHealthSettings(
    val firstAvoidance: Duration = 200.milliseconds,
    val longestAvoidance: Duration = 2.seconds,
    val halfLife: Duration = 4.seconds,
    val outcomeWeight: Double = 0.25,
)

/**
 * Rates the health of one backend server by the outcomes of requests, as its own health check may report a healthy
 * server as failing and a failing one as healthy.
 *
 * Load pattern: a few servers of a service fail part of their requests or refuse connections, the others are healthy.
 * Requests move away from them at once and return in small numbers as the failure rate decays.
 */
class ServerHealth(
    private val settings: ServerHealthSettings = ServerHealthSettings(),
) {
    private var failureRate = 0.0
    private var updatedAt = MonotonicTime.ZERO
    private var consecutiveFailures = 0
    private var avoidedUntil = MonotonicTime(Long.MIN_VALUE)

    /** Records that a request got a complete response. */
    fun recordSuccess(now: MonotonicTime) {
        consecutiveFailures = 0
        recordOutcome(failed = 0.0, now = now)
    }

    /** Records that a request failed at the server after it was sent. */
    fun recordFailure(now: MonotonicTime) = recordOutcome(failed = 1.0, now = now)

    /** Records that the server could not be reached or broke its connections. It is avoided for a time. */
    fun recordUnreachable(now: MonotonicTime) {
        recordOutcome(failed = 1.0, now = now)
        val avoidance = minOf(settings.firstAvoidance * 2.0.pow(consecutiveFailures), settings.longestAvoidance)
        consecutiveFailures += 1
        avoidedUntil = now + avoidance
    }

    /** Returns whether the server is avoided as long as another one can be used. */
    fun isAvoided(now: MonotonicTime): Boolean = now < avoidedUntil

    /** Returns the fraction of recent requests that failed, from 0 to 1, which decays with time. */
    fun failureRate(now: MonotonicTime): Double = failureRate * 0.5.pow((now - updatedAt) / settings.halfLife)

    private fun recordOutcome(
        failed: Double,
        now: MonotonicTime,
    ) {
        val decayed = failureRate(now)
        failureRate = decayed + settings.outcomeWeight * (failed - decayed)
        updatedAt = now
    }
}
