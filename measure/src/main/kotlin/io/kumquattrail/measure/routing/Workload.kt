package io.kumquattrail.measure.routing

import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.routing.PrefixBlock
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Is one request of a caller.
 *
 * @property isRepeatable whether it may be sent again after it may have run.
 */
internal class ModelRequest(
    val organisation: OrganisationName,
    val promptTokens: Int,
    val outputTokens: Int,
    val prefix: List<PrefixBlock>,
    val priority: Int = 0,
    val isRepeatable: Boolean = true,
)

/** Is a conversation: each turn's prompt holds the organisation's prefix, the earlier turns and a new message. */
internal class Session(
    val organisation: Int,
    val gateway: Int,
    val turns: Int,
) {
    val history = ArrayList<PrefixBlock>()
    var turn = 0
}

/** Generates sessions of organisations of very different sizes. */
internal class Workload(
    private val random: Random,
    organisations: Int,
) {
    private val prefixes =
        List(organisations) { PrefixBlock(random.nextLong(), random.nextInt(MINIMUM_PREFIX, MAXIMUM_PREFIX)) }
    private val cumulative = (1..organisations).runningFold(0.0) { sum, rank -> sum + 1.0 / rank }.drop(1)

    fun newSession(gateways: Int): Session {
        val position = random.nextDouble() * cumulative.last()
        val found = cumulative.binarySearch(position)
        val organisation = (if (found >= 0) found else -found - 1).coerceAtMost(cumulative.lastIndex)
        return Session(organisation, random.nextInt(gateways), turns = 1 + exponential(MEAN_TURNS - HALF_TURN).toInt())
    }

    /** Returns the next request of [session] and adds its prompt to the history. */
    fun nextRequest(session: Session): ModelRequest {
        session.turn += 1
        if (session.history.isEmpty()) session.history += prefixes[session.organisation]
        val isDocument = random.nextDouble() < DOCUMENT_SHARE
        val message = if (isDocument) random.nextInt(2_000, 5_000) else logNormal(mean = 150.0, 10, 1_500)
        session.history += PrefixBlock(random.nextLong(), message)
        val output = logNormal(mean = 150.0, 8, 1_000)
        return ModelRequest(
            organisation = OrganisationName("organisation-${session.organisation}"),
            promptTokens = session.history.sumOf { it.tokens },
            outputTokens = output,
            prefix = session.history.toList(),
        )
    }

    fun thinkTime(): Duration = exponential(MEAN_THINK_SECONDS).seconds

    private fun exponential(mean: Double): Double = -mean * ln(1 - random.nextDouble())

    private fun logNormal(
        mean: Double,
        minimum: Int,
        maximum: Int,
    ): Int {
        val normal = (1..12).sumOf { random.nextDouble() } - 6
        return (mean * exp(SIGMA * normal - SIGMA * SIGMA / 2)).toInt().coerceIn(minimum, maximum)
    }

    companion object {
        const val MEAN_TURNS = 3.5

        /** Mean time from the first to the last turn of a session. */
        val SESSION_TIME = 24.seconds
        private const val MEAN_THINK_SECONDS = 3.0
        private const val MINIMUM_PREFIX = 400
        private const val MAXIMUM_PREFIX = 1_600
        private const val DOCUMENT_SHARE = 0.04

        /** Rounding an exponential variable down takes half a turn off its mean. */
        private const val HALF_TURN = 0.5
        private const val SIGMA = 0.7
    }
}
