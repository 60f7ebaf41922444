package io.kumquattrail.decision.placement

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds what a [ServerHealth] concludes from requests.
 *
 * @property firstAvoidance time for which a server is avoided after its first failed connection.
 * @property longestAvoidance limit of that time, which doubles with each further failure in a row. It bounds how long
 *   a server that is well again stays unused.
 * @property memory time after which an observation counts for half.
 * @property observationWeight weight of a new observation against all before it.
 */
data class ServerHealthSettings(
    val firstAvoidance: Duration = 200.milliseconds,
    val longestAvoidance: Duration = 2.seconds,
    val memory: Duration = 4.seconds,
    val observationWeight: Double = 0.25,
)

/**
 * Judges one backend server by the answers to requests, as its own health check may be wrong either way.
 *
 * Load pattern: a few servers of a service fail part of their requests or refuse connections while the others are well.
 * Requests move away from them at once and return in small numbers as the memory fades.
 */
class ServerHealth(
    private val settings: ServerHealthSettings = ServerHealthSettings(),
) {
    private var failureRate = 0.0
    private var observedAt = MonotonicTime.ZERO
    private var failuresInRow = 0
    private var avoidedUntil = MonotonicTime(Long.MIN_VALUE)

    /** Records that a request got a complete answer. */
    fun succeeded(now: MonotonicTime) {
        failuresInRow = 0
        observe(failed = 0.0, now = now)
    }

    /** Records that a request failed at the server after it was sent. */
    fun failed(now: MonotonicTime) = observe(failed = 1.0, now = now)

    /** Records that the server could not be reached or broke its connections; it is avoided for a while. */
    fun unreachable(now: MonotonicTime) {
        observe(failed = 1.0, now = now)
        val avoidance = minOf(settings.firstAvoidance * 2.0.pow(failuresInRow), settings.longestAvoidance)
        failuresInRow += 1
        avoidedUntil = now + avoidance
    }

    /** Tells whether the server is avoided as long as another one can be used. */
    fun isAvoided(now: MonotonicTime): Boolean = now < avoidedUntil

    /** Returns the share of recent requests that failed, which fades with time, from 0 to 1. */
    fun failureRate(now: MonotonicTime): Double = failureRate * 0.5.pow((now - observedAt) / settings.memory)

    private fun observe(
        failed: Double,
        now: MonotonicTime,
    ) {
        val before = failureRate(now)
        failureRate = before + settings.observationWeight * (failed - before)
        observedAt = now
    }
}
