package io.kumquattrail.measure.limit

import io.kumquattrail.decision.identity.OrganisationName
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sqrt
import kotlin.random.Random

/**
 * Describes one organisation's traffic.
 *
 * @property demandShare share of the fresh tokens of all organisations.
 * @property tokensPerSecond published limit over the whole fleet.
 */
internal class SimulatedOrganisation(
    val name: OrganisationName,
    val weight: Int,
    val priority: Int,
    val demandShare: Double,
    val tokensPerSecond: Long,
)

/**
 * Draws organisations and requests.
 *
 * Limits add up to [LIMITS_OF_CAPACITY] times capacity, so that above it quotas and queues both have work.
 */
internal class Workload(
    val organisations: List<SimulatedOrganisation>,
    private val random: Random,
) {
    private val cumulative =
        organisations
            .map { it.demandShare }
            .runningReduce { sum, share -> sum + share }
            .toDoubleArray()

    fun organisation(): Int {
        val position = cumulative.binarySearch(random.nextDouble() * cumulative.last())
        return minOf(if (position >= 0) position else -position - 1, organisations.lastIndex)
    }

    /** Draws the output tokens that a caller asks for; the prompt has [PROMPT_TOKENS]. */
    fun outputTokens(): Int = (MEDIAN_OUTPUT_TOKENS * exp(OUTPUT_DEVIATION * gaussian())).toInt().coerceIn(8, 4_000)

    /** Draws how far the generated tokens differ from the expected ones. */
    fun outputFactor(): Double = random.nextDouble(0.7, 1.3)

    fun secondsUntilNext(requestsPerSecond: Double): Double = -ln(1.0 - random.nextDouble()) / requestsPerSecond

    private fun gaussian(): Double =
        sqrt(-2.0 * ln(1.0 - random.nextDouble())) * kotlin.math.cos(2.0 * Math.PI * random.nextDouble())

    companion object {
        const val PROMPT_TOKENS = 200
        const val MEDIAN_OUTPUT_TOKENS = 260.0
        const val OUTPUT_DEVIATION = 0.6
        const val LIMITS_OF_CAPACITY = 1.5
        private const val LARGE_WEIGHT = 4
        private const val LOW_PRIORITY_EVERY = 3

        /** Mean tokens of a request, for turning tokens a second into requests a second. */
        val meanTokens: Double = PROMPT_TOKENS + MEDIAN_OUTPUT_TOKENS * exp(OUTPUT_DEVIATION.pow(2) / 2)

        /** Draws [count] organisations: a few large ones and a long tail; every third has low priority. */
        fun of(
            count: Int,
            tokensPerSecond: Double,
            random: Random,
        ): Workload {
            val large = maxOf(3, count / 500)
            val sizes = List(count) { if (it < large) large / (it + 1.0) + 1.0 else 2.0 * large / (it + large) }
            val total = sizes.sum()
            val organisations =
                sizes.mapIndexed { index, size ->
                    SimulatedOrganisation(
                        name = OrganisationName("organisation-$index"),
                        weight = if (index < large) LARGE_WEIGHT else 1,
                        priority = if (index % LOW_PRIORITY_EVERY == 2) 0 else 1,
                        demandShare = size / total,
                        tokensPerSecond = maxOf(1.0, LIMITS_OF_CAPACITY * size / total * tokensPerSecond).toLong(),
                    )
                }
            return Workload(organisations, random)
        }
    }
}
