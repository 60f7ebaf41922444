package io.kumquattrail.measure.routing

import io.kumquattrail.decision.routing.PrefixBlock

/** Models a prefix cache that forgets the longest unused blocks first. */
internal class PrefixCacheModel(
    private val capacityTokens: Long,
) {
    private val blocks = LinkedHashMap<Long, Int>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var tokens = 0L

    /** Returns the number of tokens at the start of [prefix] that are cached. */
    fun cachedTokens(prefix: List<PrefixBlock>): Int = prefix.takeWhile { blocks[it.hash] != null }.sumOf { it.tokens }

    /** Stores [prefix] and returns the hashes that were added and removed. */
    fun store(prefix: List<PrefixBlock>): Change {
        val added = mutableListOf<Long>()
        val removed = mutableListOf<Long>()
        for (block in prefix) {
            if (blocks.put(block.hash, block.tokens) == null) {
                tokens += block.tokens
                added += block.hash
            }
        }
        while (tokens > capacityTokens) {
            val eldest = blocks.entries.first()
            tokens -= eldest.value
            removed += eldest.key
            blocks.remove(eldest.key)
        }
        return Change(added, removed)
    }

    fun clear() {
        blocks.clear()
        tokens = 0
    }

    data class Change(
        val added: List<Long>,
        val removed: List<Long>,
    )

    private companion object {
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f
    }
}
