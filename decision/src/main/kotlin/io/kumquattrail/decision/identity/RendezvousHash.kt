package io.kumquattrail.decision.identity

/**
 * Ranks candidates for a key by highest random weight, so that removing a candidate moves only that candidate's keys.
 */
object RendezvousHash {
    private const val OFFSET_BASIS = -3750763034362895579L
    private const val PRIME = 1099511628211L
    private const val FIRST_MULTIPLIER = -4658895280553007687L
    private const val SECOND_MULTIPLIER = -7723592293110705685L

    /** Returns [candidates] ordered from the preferred owner of [key] to the least preferred. */
    fun <T> rank(
        key: String,
        candidates: Collection<T>,
        name: (T) -> String,
    ): List<T> = candidates.sortedWith(compareByDescending<T> { weight(key, name(it)) }.thenBy(name))

    /** Returns the preferred owner of [key] among [candidates], or `null` when there is none. */
    fun <T> owner(
        key: String,
        candidates: Collection<T>,
        name: (T) -> String,
    ): T? = candidates.maxWithOrNull(compareBy<T> { weight(key, name(it)) }.thenByDescending(name))

    /** Hashes [key] together with [candidate] to 64 well mixed bits. */
    fun weight(
        key: String,
        candidate: String,
    ): Long = mix(hash(candidate, hash(key, OFFSET_BASIS)))

    private fun hash(
        text: String,
        seed: Long,
    ): Long = text.fold(seed) { hash, character -> (hash xor character.code.toLong()) * PRIME }

    private fun mix(value: Long): Long {
        val first = (value xor (value ushr 30)) * FIRST_MULTIPLIER
        val second = (first xor (first ushr 27)) * SECOND_MULTIPLIER
        return second xor (second ushr 31)
    }
}
