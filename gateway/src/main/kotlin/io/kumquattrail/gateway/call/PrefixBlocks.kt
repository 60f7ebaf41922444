package io.kumquattrail.gateway.call

import io.kumquattrail.decision.routing.PrefixBlock

/** Divides the start of a prompt into blocks by which servers with a fitting prefix cache are found. */
internal object PrefixBlocks {
    private const val CHARACTERS = 256
    private const val TOKENS = 64
    private const val MULTIPLIER = 1_000_003L

    /** Returns the whole blocks of [prompt]; each block's hash covers everything before it. */
    fun of(prompt: String): List<PrefixBlock> {
        var hash = 0L
        return (CHARACTERS..prompt.length step CHARACTERS).map { end ->
            for (index in end - CHARACTERS until end) hash = hash * MULTIPLIER + prompt[index].code
            PrefixBlock(hash = hash, tokens = TOKENS)
        }
    }
}
