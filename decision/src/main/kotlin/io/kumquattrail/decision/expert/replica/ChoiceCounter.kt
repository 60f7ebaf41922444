package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Counts of how often the requests of one rank have chosen each expert since the rank started.
 *
 * @property epoch number of the formation of the group.
 * @property choices cumulative counts by set of layers and expert.
 */
class RankChoices(
    val server: ServerName,
    val epoch: Long,
    val choices: List<LongArray>,
)

/**
 * Estimates the popularity of experts from the choice counts of one or more ranks.
 *
 * The counts are cumulative, so each reading adds the choices made since the previous one. Older choices decay
 * exponentially, because popularity shifts every few seconds.
 *
 * @property halfLife time after which a choice counts for half.
 */
class ChoiceCounter(
    private val halfLife: Duration = 600.milliseconds,
) {
    private val lastReadings = HashMap<ServerName, RankChoices>()
    private var decayedCounts: List<DoubleArray> = emptyList()
    private var updatedAt = MonotonicTime.ZERO

    /** Decayed number of choices on which the estimate is based. */
    val evidence: Double get() = decayedCounts.firstOrNull()?.sum() ?: 0.0

    /** Whether a reading has been added, so that the next one shows the choices made since. */
    val hasBaseline: Boolean get() = lastReadings.isNotEmpty()

    /** Adds the choices that one rank has counted since its previous reading. */
    fun addReading(
        reading: RankChoices,
        now: MonotonicTime,
    ) {
        val previous = lastReadings.put(reading.server, reading)?.takeIf { isContinued(it, reading) }
        // The very first reading counts in full. The first one of a further rank, or after a restart of a rank, is only
        // its baseline: it covers an unknown time, and only later increases show what is popular now.
        if (previous == null && decayedCounts.isNotEmpty()) return
        if (decayedCounts.size != reading.choices.size) decayedCounts = reading.choices.map { DoubleArray(it.size) }
        val decay = 0.5.pow((now - updatedAt) / halfLife)
        updatedAt = now
        decayedCounts.forEachIndexed { set, counts ->
            counts.indices.forEach { expert ->
                val increase = reading.choices[set][expert] - (previous?.choices?.get(set)?.get(expert) ?: 0)
                counts[expert] = counts[expert] * decay + increase
            }
        }
    }

    /** Clears the estimate but keeps the latest readings as baselines, so that the next ones add only later choices. */
    fun clearEstimate() {
        decayedCounts = decayedCounts.map { DoubleArray(it.size) }
    }

    /** Clears the estimate and all readings, so that reading can start over with other ranks. */
    fun clearAll() {
        lastReadings.clear()
        decayedCounts = emptyList()
    }

    /** Returns the estimated popularity, or `null` as long as a set has no recorded choices. */
    fun popularity(): ExpertPopularity? {
        if (decayedCounts.isEmpty() || decayedCounts.any { it.sum() <= 0.0 }) return null
        return ExpertPopularity(
            decayedCounts.map { counts ->
                val total = counts.sum()
                DoubleArray(counts.size) { expert ->
                    (1 - UNIFORM_FRACTION) * counts[expert] / total + UNIFORM_FRACTION / counts.size
                }
            },
        )
    }

    private fun isContinued(
        previous: RankChoices,
        reading: RankChoices,
    ): Boolean =
        previous.epoch == reading.epoch && previous.choices.size == reading.choices.size &&
            previous.choices.indices.all { set ->
                previous.choices[set].indices.all { previous.choices[set][it] <= reading.choices[set][it] }
            }

    private companion object {
        /** Fraction divided evenly over all experts, so that one without recorded choices is not taken as unused. */
        const val UNIFORM_FRACTION = 0.02
    }
}
