package io.kumquattrail.measure.expert

import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.sin
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Lists the traces of `step-skew`; docs/expert-traces.md describes them. */
internal enum class ExpertTraceKind {
    DRIFTING,
    BURSTY,
    SWINGING,
    UNIFORM,
    DOMINANT_ORGANISATION,
    ;

    val label: String = name.lowercase()
}

/** Generates the tokens that each expert of one layer receives, window by window. */
internal class ExpertTrace(
    private val kind: ExpertTraceKind,
    private val experts: Int,
    private val tokensPerStep: Double,
    seed: Long,
) {
    private val random = Random(seed)
    private val gaussian = random.asJavaRandom()
    private val base = DoubleArray(experts) { gaussian.nextGaussian() * BASE_SPREAD }
    private val phase = DoubleArray(experts) { random.nextDouble(2 * PI) }
    private val period = DoubleArray(experts) { random.nextDouble(DRIFT_PERIOD_MINIMUM, DRIFT_PERIOD_MAXIMUM) }
    private val other = DoubleArray(experts) { gaussian.nextGaussian() * BASE_SPREAD }
    private val organisation = DoubleArray(experts) { gaussian.nextGaussian() * ORGANISATION_SPREAD }
    private val burst = DoubleArray(experts)
    private var burstLeft = 0
    private var isOrganisationActive = false
    private var organisationLeft = 0
    private var window = 0

    /** Returns the mean tokens per step and expert in the next window. */
    fun next(): DoubleArray {
        val weights =
            when (kind) {
                ExpertTraceKind.UNIFORM -> DoubleArray(experts) { 1.0 }
                ExpertTraceKind.DRIFTING -> drifting()
                ExpertTraceKind.BURSTY -> bursting(drifting())
                ExpertTraceKind.SWINGING -> swinging()
                ExpertTraceKind.DOMINANT_ORGANISATION -> dominated(drifting())
            }
        window += 1
        val total = weights.sum()
        return DoubleArray(experts) { expert ->
            val noise = exp(gaussian.nextGaussian() * NOISE)
            weights[expert] / total * tokensPerStep * noise
        }
    }

    private fun drifting(): DoubleArray =
        DoubleArray(experts) { exp(base[it] + DRIFT_AMPLITUDE * sin(2 * PI * window / period[it] + phase[it])) }

    private fun bursting(weights: DoubleArray): DoubleArray {
        if (burstLeft == 0) {
            burst.fill(1.0)
            if (random.nextDouble() < BURST_PROBABILITY) {
                burstLeft = random.nextInt(1, BURST_WINDOWS_MAXIMUM + 1)
                repeat(BURST_EXPERTS) { burst[random.nextInt(experts)] = BURST_FACTOR }
            }
        } else {
            burstLeft -= 1
        }
        return DoubleArray(experts) { weights[it] * burst[it] }
    }

    private fun swinging(): DoubleArray {
        val mix = (1 + sin(2 * PI * window / SWING_PERIOD)) / 2
        return DoubleArray(experts) { exp(base[it]) * mix + exp(other[it]) * (1 - mix) }
    }

    private fun dominated(weights: DoubleArray): DoubleArray {
        if (organisationLeft == 0) {
            isOrganisationActive = !isOrganisationActive
            organisationLeft = random.nextInt(ORGANISATION_WINDOWS_MINIMUM, ORGANISATION_WINDOWS_MAXIMUM)
        }
        organisationLeft -= 1
        if (!isOrganisationActive) return weights
        val own = DoubleArray(experts) { exp(organisation[it]) }
        val scale = weights.sum() / own.sum()
        return DoubleArray(experts) {
            weights[it] * (1 - ORGANISATION_SHARE) + own[it] * scale * ORGANISATION_SHARE
        }
    }

    private companion object {
        const val BASE_SPREAD = 0.7
        const val DRIFT_AMPLITUDE = 0.6
        const val DRIFT_PERIOD_MINIMUM = 480.0
        const val DRIFT_PERIOD_MAXIMUM = 1_440.0
        const val NOISE = 0.005
        const val BURST_PROBABILITY = 0.1
        const val BURST_WINDOWS_MAXIMUM = 3
        const val BURST_EXPERTS = 4
        const val BURST_FACTOR = 4.0
        const val SWING_PERIOD = 40.0
        const val ORGANISATION_SPREAD = 1.3
        const val ORGANISATION_SHARE = 0.4
        const val ORGANISATION_WINDOWS_MINIMUM = 40
        const val ORGANISATION_WINDOWS_MAXIMUM = 80
    }
}
