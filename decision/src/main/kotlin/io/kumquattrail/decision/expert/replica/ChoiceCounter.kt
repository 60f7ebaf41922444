package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How often the requests of one rank chose each expert since the rank started.
 *
 * @property choices counts by set and expert.
 */
class RankChoices(
    val server: ServerName,
    val epoch: Long,
    val choices: List<LongArray>,
)

/**
 * Estimates the popularity of experts from the counts of some ranks.
 *
 * Counts only grow, so each reading adds what was chosen since the one before. Older choices fade, as popularity
 * shifts every few seconds.
 *
 * @property memory time after which choices count for half.
 */
class ChoiceCounter(
    private val memory: Duration = 600.milliseconds,
) {
    private val before = HashMap<ServerName, RankChoices>()
    private var weights: List<DoubleArray> = emptyList()
    private var updatedAt = MonotonicTime.ZERO

    /** Choices that the estimate rests on, faded. */
    val evidence: Double get() = weights.firstOrNull()?.sum() ?: 0.0

    /** Whether counts have been read, so that the next reading shows what was chosen since. */
    val hasBaseline: Boolean get() = before.isNotEmpty()

    /** Takes in the counts of one rank. */
    fun read(
        reading: RankChoices,
        now: MonotonicTime,
    ) {
        val earlier = before.put(reading.server, reading)?.takeIf { isContinued(it, reading) }
        // The first reading of a rank covers an unknown time; only its growth tells what is popular now.
        if (earlier == null && weights.isNotEmpty()) return
        if (weights.size != reading.choices.size) weights = reading.choices.map { DoubleArray(it.size) }
        val factor = 0.5.pow((now - updatedAt) / memory)
        updatedAt = now
        weights.forEachIndexed { set, weight ->
            weight.indices.forEach { expert ->
                val grown = reading.choices[set][expert] - (earlier?.choices?.get(set)?.get(expert) ?: 0)
                weight[expert] = weight[expert] * factor + grown
            }
        }
    }

    /** Drops the estimate but keeps the counts read last, so that the next reading shows only what came after them. */
    fun restart() {
        weights = weights.map { DoubleArray(it.size) }
    }

    /** Forgets everything, as counts start anew. */
    fun reset() {
        before.clear()
        weights = emptyList()
    }

    /** Returns the popularity, or `null` before anything was chosen. */
    fun popularity(): ExpertPopularity? {
        if (weights.isEmpty() || weights.any { it.sum() <= 0.0 }) return null
        return ExpertPopularity(
            weights.map { weight ->
                val total = weight.sum()
                DoubleArray(weight.size) { expert ->
                    (1 - UNIFORM_SHARE) * weight[expert] / total + UNIFORM_SHARE / weight.size
                }
            },
        )
    }

    private fun isContinued(
        earlier: RankChoices,
        reading: RankChoices,
    ): Boolean =
        earlier.epoch == reading.epoch && earlier.choices.size == reading.choices.size &&
            earlier.choices.indices.all { set ->
                earlier.choices[set].indices.all { earlier.choices[set][it] <= reading.choices[set][it] }
            }

    private companion object {
        /** Part of the estimate that is spread over all experts, so that one that was not seen is not taken as unused. */
        const val UNIFORM_SHARE = 0.02
    }
}
