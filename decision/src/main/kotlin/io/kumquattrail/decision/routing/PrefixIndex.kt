package io.kumquattrail.decision.routing

import io.kumquattrail.decision.identity.ServerName

/**
 * Remembers which servers probably hold which prefixes, from the gateway's own requests and from late cache events.
 *
 * A wrong entry costs time, never correctness.
 *
 * @property maximumBlocks blocks that are remembered; the longest unused one is forgotten first.
 * @property maximumHolders servers that are remembered for a block.
 */
internal class PrefixIndex(
    private val maximumBlocks: Int = 50_000,
    private val maximumHolders: Int = 12,
) {
    private class Holder(
        val server: ServerName,
        var epoch: Int,
    )

    private class Feed(
        var lastSequence: Long,
        var epoch: Int = 0,
    )

    private val blocks = LinkedHashMap<Long, ArrayList<Holder>>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val feeds = HashMap<ServerName, Feed>()

    /** Notes that [server] holds the prefixes of [hashes]. */
    fun note(
        server: ServerName,
        hashes: List<Long>,
    ) {
        val epoch = feeds[server]?.epoch ?: 0
        for (hash in hashes) {
            val holders = blocks.getOrPut(hash) { ArrayList(2) }
            val known = holders.find { it.server == server }
            if (known != null) {
                known.epoch = epoch
            } else {
                if (holders.size >= maximumHolders) holders.removeAt(0)
                holders += Holder(server, epoch)
            }
        }
        while (blocks.size > maximumBlocks) blocks.remove(blocks.keys.first())
    }

    fun apply(event: CacheEvent) {
        val feed = feeds.getOrPut(event.server) { Feed(event.sequence - 1) }
        if (event.sequence <= feed.lastSequence) return
        // Lost events may have removed any prefix, so older entries count less until they are seen again.
        if (event.sequence != feed.lastSequence + 1) feed.epoch += 1
        feed.lastSequence = event.sequence
        event.removed.forEach { hash -> blocks[hash]?.removeAll { it.server == event.server } }
        note(event.server, event.stored)
    }

    /** Forgets what [server] holds, such as after it became cold. */
    fun forget(server: ServerName) {
        feeds.getOrPut(server) { Feed(lastSequence = -1) }.epoch += FORGOTTEN_AGE
    }

    /**
     * Calls [action] with each server that probably holds a part of [prefix] and the expected number of cached tokens,
     * from the longest part to the shortest, so that the first call for a server is the one that counts.
     */
    fun forEachHolder(
        prefix: List<PrefixBlock>,
        action: (server: ServerName, tokens: Int) -> Unit,
    ) {
        var tokens = prefix.sumOf { it.tokens }
        for (index in prefix.indices.reversed()) {
            val holders = blocks[prefix[index].hash]
            if (holders != null) {
                for (position in holders.indices.reversed()) {
                    val credit = credit(holders[position])
                    if (credit > 0) action(holders[position].server, (credit * tokens).toInt())
                }
            }
            tokens -= prefix[index].tokens
        }
    }

    private fun credit(holder: Holder): Double =
        when ((feeds[holder.server]?.epoch ?: 0) - holder.epoch) {
            0 -> 1.0
            1 -> CREDIT_AFTER_GAP
            else -> 0.0
        }

    private companion object {
        const val CREDIT_AFTER_GAP = 0.5
        const val FORGOTTEN_AGE = 2
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f
    }
}
