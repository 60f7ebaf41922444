package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import java.util.TreeMap
import kotlin.math.exp
import kotlin.time.DurationUnit

/**
 * Refuses requests at the gateway while the agents of a service report more work than their servers can run.
 *
 * The shed share rises while the mean pressure is above [LoadShedderSettings.raiseAbove], falls while it is below
 * [LoadShedderSettings.lowerBelow], and stays in between, so that it does not swing with every report. Sheds the lowest
 * priority first, and lets lower priorities keep [LoadShedderSettings.keptShare], so that none starves. The highest
 * priority in the offered traffic is left to the agents' fair queues, which see organisations' shares and the shedder does
 * not. An instance covers one service and is used by one thread at a time.
 */
class LoadShedder(
    private val settings: LoadShedderSettings = LoadShedderSettings(),
) {
    private val reports = HashMap<ServerName, Report>()
    private val offered = TreeMap<Int, Offered>()
    private var lastChange: MonotonicTime? = null

    /** Share of all offered tokens that is refused, at least 0. */
    var shedShare = 0.0
        private set

    /** Takes in a load report of the agent beside [server]. */
    fun observe(
        server: ServerName,
        load: ServerLoad,
        now: MonotonicTime,
    ) {
        if (load.draining) reports.remove(server) else reports[server] = Report(load, now)
    }

    /** Decides on a request with an estimated cost of [tokens]. */
    fun admit(
        priority: Int,
        tokens: Long,
        now: MonotonicTime,
    ): ShedDecision {
        adjust(now)
        val level = offered.getOrPut(priority) { Offered(now) }
        offered.values.forEach { it.decay(now) }
        level.tokens += tokens
        if (offered.size > MOST_PRIORITIES) offered.values.removeAll { it.tokens < 1.0 }
        level.credit += shareOf(priority)
        if (level.credit < 1.0) return ShedDecision.Admitted
        level.credit -= 1.0
        return ShedDecision.Shed(settings.shortestRetryAfter * (1.0 + shedShare * RETRY_FACTOR))
    }

    /** Share of the requests at [priority] that is refused now. */
    fun shareOf(priority: Int): Double {
        if (offered.isEmpty()) return 0.0
        val most = mostOfLower()
        var left = offered.values.sumOf { it.tokens } * shedShare
        for ((candidate, level) in offered.headMap(offered.lastKey(), false)) {
            val share = if (level.tokens > 0.0) minOf(most, left / level.tokens) else 0.0
            if (candidate == priority) return share
            left -= share * level.tokens
        }
        return 0.0
    }

    /** Work that waits at the servers per request that they can run at once, over all fresh reports. */
    fun pressure(now: MonotonicTime): Double {
        reports.values.removeAll { now - it.at > settings.reportValidity }
        val limit = reports.values.sumOf { it.load.concurrencyLimit }
        return if (limit == 0) 0.0 else reports.values.sumOf { it.load.queued }.toDouble() / limit
    }

    private fun adjust(now: MonotonicTime) {
        val previous = lastChange
        if (previous != null && now - previous < settings.interval) return
        lastChange = now
        val pressure = pressure(now)
        val step =
            when {
                pressure > settings.raiseAbove -> settings.raiseStep
                pressure < settings.lowerBelow -> -settings.lowerStep
                else -> 0.0
            }
        shedShare = (shedShare + step).coerceIn(0.0, mostShare())
    }

    /** Bounds the share by what lower priorities can give, as a higher one would only delay its fall afterwards. */
    private fun mostShare(): Double {
        val total = offered.values.sumOf { it.tokens }
        return if (total <= 0.0) 0.0 else mostOfLower() * lowerTokens() / total
    }

    /** Share of each lower priority that may be refused, so that the agents still get enough for its reserved share. */
    private fun mostOfLower(): Double {
        val lower = lowerTokens()
        if (lower <= 0.0) return 0.0
        return (1.0 - settings.keptShare * offered.values.sumOf { it.tokens } / lower).coerceIn(0.0, 1.0)
    }

    private fun lowerTokens(): Double = offered.headMap(offered.lastKey(), false).values.sumOf { it.tokens }

    private class Report(
        val load: ServerLoad,
        val at: MonotonicTime,
    )

    private class Offered(
        private var last: MonotonicTime,
    ) {
        var tokens = 0.0
        var credit = 0.0

        fun decay(now: MonotonicTime) {
            tokens *= exp(-(now - last).toDouble(DurationUnit.SECONDS) / OFFERED_SECONDS)
            last = now
        }
    }

    private companion object {
        const val MOST_PRIORITIES = 32
        const val OFFERED_SECONDS = 5.0
        const val RETRY_FACTOR = 4.0
    }
}
