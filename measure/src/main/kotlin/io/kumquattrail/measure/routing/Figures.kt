package io.kumquattrail.measure.routing

import org.HdrHistogram.Histogram
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Collects the figures of one run. Nothing is recorded in histograms while [isRecording] is false. */
internal class Figures {
    private val firstToken = Histogram(MAXIMUM_MICROSECONDS, DIGITS)
    private val betweenTokens = Histogram(MAXIMUM_MICROSECONDS, DIGITS)
    private var promptTokens = 0L
    private var cachedTokens = 0L
    private var spreadSum = 0.0
    private var decisionNanoseconds = 0L
    private var decisions = 0L
    private var spreadSamples = 0
    var isRecording = false
    var coldLimitViolations = 0

    /** Generated tokens since recording began. */
    var outputTokens = 0L
        private set

    /** Starts a new period of recording, without what was recorded before. */
    fun startPeriod() {
        isRecording = true
        firstToken.reset()
        betweenTokens.reset()
        outputTokens = 0
        promptTokens = 0
        cachedTokens = 0
    }

    fun recordFirstToken(duration: Duration) {
        if (isRecording) firstToken.recordValue(microseconds(duration))
    }

    /** Records the processor time of a choice, which differs between runs of the same seed. */
    fun recordDecision(nanoseconds: Long) {
        if (!isRecording) return
        decisionNanoseconds += nanoseconds
        decisions += 1
    }

    fun recordTokens(
        duration: Duration,
        count: Int,
    ) {
        if (!isRecording || count == 0) return
        betweenTokens.recordValueWithCount(microseconds(duration), count.toLong())
        outputTokens += count
    }

    fun recordPrompt(
        tokens: Int,
        cached: Int,
    ) {
        if (!isRecording) return
        promptTokens += tokens
        cachedTokens += cached
    }

    /** Records how unevenly [loads] are spread, as standard deviation over mean. */
    fun recordSpread(loads: List<Double>) {
        val mean = loads.average()
        if (!isRecording || mean <= 0.0) return
        spreadSum += sqrt(loads.sumOf { (it - mean) * (it - mean) } / loads.size) / mean
        spreadSamples += 1
    }

    val firstTokenCount: Long get() = firstToken.totalCount

    val cacheHitRatio: Double get() = if (promptTokens == 0L) 0.0 else cachedTokens.toDouble() / promptTokens

    val meanDecisionMicroseconds: Double
        get() = if (decisions == 0L) 0.0 else decisionNanoseconds / 1_000.0 / decisions

    val loadSpread: Double get() = if (spreadSamples == 0) 0.0 else spreadSum / spreadSamples

    fun firstTokenMilliseconds(percentile: Double): Double = firstToken.getValueAtPercentile(percentile) / 1_000.0

    fun betweenTokensMilliseconds(percentile: Double): Double = betweenTokens.getValueAtPercentile(percentile) / 1_000.0

    private fun microseconds(duration: Duration): Long =
        duration.toLong(DurationUnit.MICROSECONDS).coerceIn(1, MAXIMUM_MICROSECONDS)

    private companion object {
        const val MAXIMUM_MICROSECONDS = 120_000_000L
        const val DIGITS = 3
    }
}
