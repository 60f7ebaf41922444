package io.kumquattrail.decision.routing

import io.kumquattrail.decision.identity.ServerName

/**
 * Reports a change of a server's prefix cache. Events arrive late, and some are lost.
 *
 * @property sequence number of the event among those of the server's run; a gap shows that events were lost.
 * @property stored prefix hashes that the server now holds.
 * @property removed prefix hashes that the server no longer holds.
 */
data class CacheEvent(
    val server: ServerName,
    val sequence: Long,
    val stored: List<Long> = emptyList(),
    val removed: List<Long> = emptyList(),
)
