package io.kumquattrail.decision.admission

/** Lists the signs by which an agent considers its server cold. */
enum class ColdSign {
    AGENT_STARTED,
    SERVER_INCARNATION_CHANGED,
    CONNECTION_RESET,
    LATE_FIRST_TOKEN,

    /** No request in flight made progress for long, although many are in flight. */
    SILENT_SERVER,
    AGENT_PAUSED,
}

/**
 * Limits the work on a server from its cold start until it bears its full load.
 *
 * @property completionsPerDoubling completed requests without a failure after which the limit doubles.
 * @property doublings number of times the limit has doubled since the last cold sign.
 * @property completions completed requests since the last doubling, failure or cold sign.
 * @property generation number of cold signs so far.
 */
data class ColdStartLimit(
    val limits: ServerLimits,
    val completionsPerDoubling: Int = 8,
    val doublings: Int = 0,
    val completions: Int = 0,
    val generation: Int = 0,
) {
    /** Requests that may be in flight. */
    val concurrency: Int
        get() = scaled(limits.coldConcurrency.toLong(), limits.warmConcurrency.toLong()).toInt()

    /** Prompt and output tokens that may be in flight. */
    val tokens: Long get() = scaled(limits.coldTokens, limits.warmTokens)

    /** Whether the limit is below that of the warm server. */
    val isCold: Boolean get() = concurrency < limits.warmConcurrency || tokens < limits.warmTokens

    /** Returns the limit after a sign that the server is cold. */
    fun restarted(): ColdStartLimit = copy(doublings = 0, completions = 0, generation = generation + 1)

    /**
     * Returns the limit after a request completed that was sent in [startedInGeneration].
     *
     * Requests sent before the last cold sign prove nothing about the server as it is now and are not counted.
     */
    fun afterCompletion(startedInGeneration: Int): ColdStartLimit =
        when {
            !isCold || startedInGeneration != generation -> this
            completions + 1 < completionsPerDoubling -> copy(completions = completions + 1)
            else -> copy(doublings = doublings + 1, completions = 0)
        }

    /** Returns the limit after a request failed on the server. */
    fun afterFailure(): ColdStartLimit = copy(completions = 0)

    private fun scaled(
        cold: Long,
        warm: Long,
    ): Long = if (doublings >= MAXIMUM_DOUBLINGS) warm else minOf(warm, cold shl doublings)

    private companion object {
        /** Above this the shifted limit could overflow; any published limit is reached earlier. */
        const val MAXIMUM_DOUBLINGS = 30
    }
}
