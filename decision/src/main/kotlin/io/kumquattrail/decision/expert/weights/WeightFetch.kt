package io.kumquattrail.decision.expert.weights

/** Orders fetches of expert weights; earlier entries are served first. */
enum class FetchPriority {
    /** A replacement that holds no weights yet: the whole group waits for it. */
    COLD_REPLACEMENT,

    /** Weights that a committed map needs on this rank again. */
    RESTORE,

    /** Weights for a better balance; the group runs without them. */
    BALANCE,
}

/**
 * Describes the weights of one expert that a rank needs.
 *
 * @property bytes size of the weights.
 */
data class WeightFetch(
    val layer: Int,
    val expert: Int,
    val bytes: Long,
    val priority: FetchPriority,
)

/** Says where the weights of a fetch come from. */
sealed interface WeightSource {
    /** The rate-limited weight store. */
    data object Store : WeightSource

    /** The agent of another rank that holds the expert. */
    data class Peer(
        val rank: Int,
    ) : WeightSource
}
