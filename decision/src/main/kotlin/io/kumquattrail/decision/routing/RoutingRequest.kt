package io.kumquattrail.decision.routing

import io.kumquattrail.decision.identity.ServerName

/**
 * Identifies a part of a prompt together with everything before it.
 *
 * @property hash hash of the prompt from its start to the end of this block.
 * @property tokens tokens of this block alone.
 */
data class PrefixBlock(
    val hash: Long,
    val tokens: Int,
)

/**
 * Describes what has to be known of a request to choose a server.
 *
 * @property promptTokens all tokens of the prompt.
 * @property outputTokens expected number of output tokens.
 * @property prefix blocks from the start of the prompt that a server may have cached.
 * @property priority higher values matter more; only requests of priority 0 and below probe slow servers.
 * @property excluded servers that already refused or failed this request.
 */
data class RoutingRequest(
    val promptTokens: Int,
    val outputTokens: Int,
    val prefix: List<PrefixBlock> = emptyList(),
    val priority: Int = 0,
    val excluded: Set<ServerName> = emptySet(),
)
