package io.kumquattrail.decision.identity

import kotlin.random.Random

/**
 * Identifies one run of a process from its start to its end.
 *
 * An incarnation consists of 128 random bits, so it differs between runs without depending on a clock or stored state.
 */
data class Incarnation(
    val high: Long,
    val low: Long,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = compareValuesBy(this, other, Incarnation::high, Incarnation::low)

    override fun toString(): String = hexadecimal(high) + hexadecimal(low)

    companion object {
        private const val HEXADECIMAL_RADIX = 16
        private const val DIGITS_PER_HALF = 16

        /** Generates a new incarnation from [random]. */
        fun random(random: Random): Incarnation = Incarnation(high = random.nextLong(), low = random.nextLong())

        /** Parses the format that [toString] returns; returns `null` for any other text. */
        fun parse(text: String): Incarnation? {
            if (text.length != 2 * DIGITS_PER_HALF) return null
            val high = text.take(DIGITS_PER_HALF).toULongOrNull(HEXADECIMAL_RADIX) ?: return null
            val low = text.drop(DIGITS_PER_HALF).toULongOrNull(HEXADECIMAL_RADIX) ?: return null
            return Incarnation(high = high.toLong(), low = low.toLong())
        }

        private fun hexadecimal(half: Long): String =
            half.toULong().toString(HEXADECIMAL_RADIX).padStart(DIGITS_PER_HALF, '0')
    }
}
