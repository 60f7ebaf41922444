package io.kumquattrail.decision.timeline

/**
 * Orders events of all processes: an event that could have caused another has the lower timestamp.
 *
 * @property milliseconds highest wall time known to the process, in milliseconds since 1970-01-01T00:00:00Z.
 * @property counter orders events within one millisecond, from 0 to 65,535.
 */
data class HybridTimestamp(
    val milliseconds: Long,
    val counter: Int,
) : Comparable<HybridTimestamp> {
    override fun compareTo(other: HybridTimestamp): Int =
        compareValuesBy(this, other, HybridTimestamp::milliseconds, HybridTimestamp::counter)

    override fun toString(): String = "$milliseconds.$counter"
}
