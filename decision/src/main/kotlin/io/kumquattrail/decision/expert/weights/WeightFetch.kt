package io.kumquattrail.decision.expert.weights

/** Priority of a fetch of expert weights, highest first. */
enum class FetchPriority {
    /** Weights for a rank that replaces a lost one and holds none yet; the whole group waits for them. */
    COLD_REPLACEMENT,

    /** Weights that a committed map places on this rank and that the rank no longer holds. */
    RESTORE,

    /** Weights that improve the balance of load; the group runs without them. */
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

/** Source of the weights of a fetch. */
sealed interface WeightSource {
    /** The rate-limited weight store. */
    data object Store : WeightSource

    /** The agent of another rank that holds the expert. */
    data class Peer(
        val rank: Int,
    ) : WeightSource
}
