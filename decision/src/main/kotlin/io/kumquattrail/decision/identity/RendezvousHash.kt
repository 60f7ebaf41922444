package io.kumquattrail.decision.identity

/**
 * Ranks candidates for a key by highest random weight, so that removing a candidate moves only the keys that it owned.
 */
object RendezvousHash {
    private const val FNV_OFFSET_BASIS = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val FIRST_MIX_MULTIPLIER = -4658895280553007687L
    private const val SECOND_MIX_MULTIPLIER = -7723592293110705685L

    /** Returns [candidates] from the most to the least preferred owner of [key]. */
    fun <T> rank(
        key: String,
        candidates: Collection<T>,
        name: (T) -> String,
    ): List<T> = candidates.sortedWith(compareByDescending<T> { weight(key, name(it)) }.thenBy(name))

    /** Returns the most preferred owner of [key] among [candidates], or `null` if there are none. */
    fun <T> owner(
        key: String,
        candidates: Collection<T>,
        name: (T) -> String,
    ): T? = candidates.maxWithOrNull(compareBy<T> { weight(key, name(it)) }.thenByDescending(name))

    /** Returns the weight of [candidate] for [key], a 64-bit FNV-1a hash of both that SplitMix64 mixes. */
    fun weight(
        key: String,
        candidate: String,
    ): Long = mix(hash(candidate, hash(key, FNV_OFFSET_BASIS)))

    private fun hash(
        text: String,
        seed: Long,
    ): Long = text.fold(seed) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }

    private fun mix(value: Long): Long {
        val first = (value xor (value ushr 30)) * FIRST_MIX_MULTIPLIER
        val second = (first xor (first ushr 27)) * SECOND_MIX_MULTIPLIER
        return second xor (second ushr 31)
    }
}
