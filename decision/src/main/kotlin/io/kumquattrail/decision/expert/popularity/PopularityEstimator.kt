package io.kumquattrail.decision.expert.popularity

import io.kumquattrail.decision.expert.GroupShape
import kotlin.math.abs
import kotlin.math.max
import kotlin.math.min
import kotlin.math.sign
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of a [PopularityEstimator].
 *
 * @property windowSteps number of steps whose reports are summed to one observation.
 * @property windowTime time that these steps take.
 * @property completeCoverage fraction of the ranks' steps from which an observation counts as complete.
 * @property minimumCoverage fraction of the ranks' steps below which an observation is discarded.
 * @property gainMinimum weight of an observation while deviations look like noise.
 * @property gainMaximum weight of an observation while deviations persist.
 * @property errorGain weight of the newest error in the smoothed errors.
 * @property trendGain weight of an observation in the estimated change of the level per window.
 * @property trendDamping fraction of that estimate that remains after each window.
 * @property peakDecay fraction of a peak that remains after each window.
 * @property horizonMinimum shortest horizon that is reported.
 * @property horizonMaximum longest horizon that is reported.
 */
data class PopularitySettings(
    val windowSteps: Long = 700,
    val windowTime: Duration = 30.seconds,
    val completeCoverage: Double = 0.9,
    val minimumCoverage: Double = 0.25,
    val gainMinimum: Double = 0.08,
    val gainMaximum: Double = 0.9,
    val errorGain: Double = 0.25,
    val trendGain: Double = 0.1,
    val trendDamping: Double = 0.95,
    val peakDecay: Double = 0.985,
    val horizonMinimum: Duration = 60.seconds,
    val horizonMaximum: Duration = 3_600.seconds,
)

/**
 * Estimates how many tokens each expert receives from the reports of the ranks.
 *
 * Reports may arrive late, twice, or not at all. An observation is scaled by the fraction of the ranks' steps that it
 * covers, as ranks receive similar traffic. The estimate follows the adaptive smoothing of Trigg and Leach: the weight
 * of an observation is the ratio of the smoothed error to the smoothed absolute error, which is near 0 for noise and
 * near 1 for a persistent change. The ratio of the previous window is used, so that a burst of one window has little
 * weight.
 */
class PopularityEstimator(
    private val shape: GroupShape,
    private val settings: PopularitySettings = PopularitySettings(),
) {
    private class Window(
        shape: GroupShape,
    ) {
        val tokens = List(shape.layers) { DoubleArray(shape.experts) }
        var rankSteps = 0L
    }

    private class LayerState(
        experts: Int,
    ) {
        val level = DoubleArray(experts)

        /** Estimated change of the level of each expert, in tokens per step and window. */
        val levelChangePerWindow = DoubleArray(experts)
        val error = DoubleArray(experts)
        val absoluteError = DoubleArray(experts)
        val gain = DoubleArray(experts)
        val peak = DoubleArray(experts)
        var noise = INITIAL_NOISE

        /** Smoothed relative change per window. */
        var change = 0.0

        /** Distance of the levels from their long-term values, as a fraction of the tokens. */
        var displacement = 0.0
        val longTermLevel = DoubleArray(experts)

        /** Fraction of the tokens per window whose expert crosses its long-term level, smoothed over windows. */
        var reversals = 0.0

        /** Sign of the last clear distance of each expert's level from its long-term value; 0 before the first. */
        val direction = DoubleArray(experts)

        /** Number of successive windows in which the level was further from its long-term value than noise explains. */
        var persistentWindows = 0
    }

    private val windows = sortedMapOf<Long, Window>()
    private val lastReportedStep = LongArray(shape.ranks) { -1 }
    private val states = List(shape.layers) { LayerState(shape.experts) }
    private var nextWindow = 0L
    private var newestWindow = 0L

    /** Number of windows that have contributed to the estimate. */
    var observations = 0
        private set

    /** Number of reports that arrived twice or after their window was closed. */
    var discardedReports = 0
        private set

    /** Adds [report] to its window. Returns whether the report was used. */
    fun receive(report: ExpertLoadReport): Boolean {
        val window = report.firstStep / settings.windowSteps
        if (window < nextWindow || report.firstStep <= lastReportedStep[report.rank]) {
            discardedReports += 1
            return false
        }
        lastReportedStep[report.rank] = report.lastStep
        val target = windows.getOrPut(window) { Window(shape) }
        target.rankSteps += report.lastStep - report.firstStep + 1
        target.tokens.forEachIndexed { layer, sums ->
            val reported = report.tokens[layer]
            for (expert in sums.indices) sums[expert] += reported[expert]
        }
        newestWindow = max(newestWindow, window)
        applyClosedWindows()
        return true
    }

    /** Returns the estimate, or `null` before the first observation. */
    fun popularity(): Popularity? {
        if (observations == 0) return null
        return Popularity(states.map { popularity(it) })
    }

    private fun applyClosedWindows() {
        while (windows.isNotEmpty()) {
            val index = windows.firstKey()
            val window = checkNotNull(windows[index])
            val coverage = window.rankSteps.toDouble() / (settings.windowSteps * shape.ranks)
            val isClosed = index < newestWindow - 1 || coverage >= settings.completeCoverage
            if (!isClosed) return
            windows.remove(index)
            nextWindow = index + 1
            if (coverage >= settings.minimumCoverage) applyWindow(window)
        }
    }

    private fun applyWindow(window: Window) {
        val tokensPerStepFactor = shape.ranks.toDouble() / window.rankSteps
        window.tokens.forEachIndexed { layer, tokens ->
            val tokensPerStep = DoubleArray(tokens.size) { tokens[it] * tokensPerStepFactor }
            if (observations == 0) initialise(states[layer], tokensPerStep) else update(states[layer], tokensPerStep)
        }
        observations += 1
    }

    private fun initialise(
        state: LayerState,
        tokensPerStep: DoubleArray,
    ) {
        tokensPerStep.copyInto(state.level)
        tokensPerStep.copyInto(state.longTermLevel)
        tokensPerStep.copyInto(state.peak)
        state.gain.fill(settings.gainMaximum)
    }

    private fun update(
        state: LayerState,
        tokensPerStep: DoubleArray,
    ) {
        val totalTokens = tokensPerStep.sum()
        var squaredNoise = 0.0
        var change = 0.0
        var displacement = 0.0
        var reversals = 0.0
        for (expert in tokensPerStep.indices) {
            // Without damping, the forecast would overshoot after a single jump of popularity.
            val expectedChange = state.levelChangePerWindow[expert] * settings.trendDamping
            val forecast = state.level[expert] + expectedChange
            val error = tokensPerStep[expert] - forecast
            val gain = state.gain[expert]
            val previousLevel = state.level[expert]
            val weight = settings.errorGain
            state.error[expert] += weight * (error - state.error[expert])
            state.absoluteError[expert] += weight * (abs(error) - state.absoluteError[expert])
            val errorRatio = abs(state.error[expert]) / max(state.absoluteError[expert], EPSILON)
            state.gain[expert] = min(settings.gainMaximum, max(settings.gainMinimum, errorRatio))
            state.level[expert] = max(0.0, forecast + gain * error)
            val levelChange = state.level[expert] - previousLevel
            state.levelChangePerWindow[expert] = expectedChange + settings.trendGain * (levelChange - expectedChange)
            state.peak[expert] = max(state.level[expert], state.peak[expert] * settings.peakDecay)
            squaredNoise += error * error / max(forecast, EPSILON)
            change += abs(levelChange)
            state.longTermLevel[expert] += LONG_TERM_GAIN * (state.level[expert] - state.longTermLevel[expert])
            displacement += abs(state.level[expert] - state.longTermLevel[expert])
            val distance = state.level[expert] - state.longTermLevel[expert]
            if (abs(distance) > REVERSAL_THRESHOLD * state.longTermLevel[expert]) {
                // The level crossed its long-term value and went clearly beyond it.
                if (state.direction[expert] * distance < 0) reversals += previousLevel
                state.direction[expert] = sign(distance)
            }
        }
        val positiveTotal = max(totalTokens, EPSILON)
        state.noise += NOISE_GAIN * (sqrt(squaredNoise / positiveTotal) - state.noise)
        state.change += NOISE_GAIN * (change / positiveTotal - state.change)
        state.reversals += SWING_GAIN * (reversals / positiveTotal - state.reversals)
        state.displacement = displacement / positiveTotal
        val isPersistent = state.displacement > CALM_DISPLACEMENT + state.noise
        state.persistentWindows = if (isPersistent) state.persistentWindows + 1 else 0
    }

    private fun popularity(state: LayerState): LayerPopularity {
        val expected =
            DoubleArray(state.level.size) {
                max(
                    0.0,
                    state.level[it] + state.levelChangePerWindow[it] * FORECAST_WINDOWS,
                )
            }
        val trend =
            when {
                state.reversals > SWING_THRESHOLD -> PopularityTrend.SWINGING
                state.persistentWindows == 0 -> PopularityTrend.CALM
                state.persistentWindows <= BURST_WINDOWS -> PopularityTrend.BURST
                else -> PopularityTrend.DRIFTING
            }
        // Number of windows after which popularity has changed by as much as placement tolerates.
        val windows = TOLERATED_CHANGE / max(state.change, EPSILON)
        val horizon =
            (settings.windowTime * min(windows, MAXIMUM_WINDOWS))
                .coerceIn(settings.horizonMinimum, settings.horizonMaximum)
        return LayerPopularity(expected, state.peak.copyOf(), state.noise, trend, horizon)
    }

    private companion object {
        const val EPSILON = 1e-9

        /** Weight of the newest window in the smoothed noise and change. */
        const val NOISE_GAIN = 0.1

        /** Relative deviation, as [LayerPopularity.noise]. */
        const val INITIAL_NOISE = 0.02

        /** Weight of the newest window in the long-term level. */
        const val LONG_TERM_GAIN = 0.05

        /** Distance from the long-term level that counts as clear, as a fraction of that level. */
        const val REVERSAL_THRESHOLD = 0.1

        /** Weight of the newest window in the smoothed reversals. */
        const val SWING_GAIN = 0.03

        /** Reversals above which popularity is swinging, as a fraction of the tokens per window. */
        const val SWING_THRESHOLD = 0.032

        /** Displacement in excess of noise that still counts as calm, as a fraction of the tokens. */
        const val CALM_DISPLACEMENT = 0.003

        /** Longest duration of a burst, in windows. */
        const val BURST_WINDOWS = 3

        /** Change that placement tolerates, as a fraction of the tokens. */
        const val TOLERATED_CHANGE = 0.25

        /** Time for which the estimate looks ahead, in windows. */
        const val FORECAST_WINDOWS = 1.5

        /** Limit that keeps the horizon finite before it is clamped, in windows. */
        const val MAXIMUM_WINDOWS = 1e6
    }
}
