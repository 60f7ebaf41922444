package io.kumquattrail.decision.expert

/**
 * Places the experts of one layer on ranks.
 *
 * Each rank has [slotsPerRank] slots; a slot is empty or holds one replica of an expert together with the share of the
 * expert's tokens that this replica serves. Instances are immutable.
 */
class LayerPlacement private constructor(
    val ranks: Int,
    val slotsPerRank: Int,
    private val experts: IntArray,
    private val shares: DoubleArray,
) {
    /** Number of slots of all ranks. Slot `s` belongs to rank `s / slotsPerRank`. */
    val slots: Int get() = experts.size

    /** Number of slots that hold an expert. */
    val filledSlots: Int get() = experts.count { it != EMPTY }

    /** Returns the expert in [slot], or [EMPTY]. */
    fun expertAt(slot: Int): Int = experts[slot]

    /** Returns the share of its expert's tokens that [slot] serves, from 0 to 1. */
    fun shareAt(slot: Int): Double = shares[slot]

    /** Returns the rank that [slot] belongs to. */
    fun rankOf(slot: Int): Int = slot / slotsPerRank

    /** Lists the experts on [rank] in order of its slots. */
    fun expertsOf(rank: Int): List<Int> = slotsOf(rank).map { experts[it] }.filter { it != EMPTY }

    /** Lists the shares that [rank] serves, in the order of [expertsOf]. */
    fun sharesOf(rank: Int): List<Double> = slotsOf(rank).filter { experts[it] != EMPTY }.map { shares[it] }

    /** Returns whether [rank] holds a replica of [expert]. */
    fun holds(
        rank: Int,
        expert: Int,
    ): Boolean = slotsOf(rank).any { experts[it] == expert }

    /** Adds the tokens that each rank serves to its entry in [loads], given the [tokens] of each expert. */
    fun addLoads(
        tokens: DoubleArray,
        loads: DoubleArray,
    ) {
        for (slot in experts.indices) {
            val expert = experts[slot]
            if (expert != EMPTY) loads[slot / slotsPerRank] += tokens[expert] * shares[slot]
        }
    }

    /** Returns a copy of the experts of all slots. */
    fun copyExperts(): IntArray = experts.copyOf()

    /** Returns a copy of the shares of all slots. */
    fun copyShares(): DoubleArray = shares.copyOf()

    /** Returns the number of replicas whose rank holds no replica of the same expert in [previous]. */
    fun replicasMissingIn(previous: LayerPlacement): Int =
        experts.indices.count { slot ->
            experts[slot] != EMPTY && !previous.holds(slot / slotsPerRank, experts[slot])
        }

    private fun slotsOf(rank: Int): IntRange = rank * slotsPerRank until (rank + 1) * slotsPerRank

    override fun equals(other: Any?): Boolean =
        this === other ||
            (
                other is LayerPlacement &&
                    slotsPerRank == other.slotsPerRank &&
                    experts.contentEquals(other.experts) &&
                    shares.contentEquals(other.shares)
            )

    override fun hashCode(): Int = 31 * experts.contentHashCode() + shares.contentHashCode()

    override fun toString(): String = "LayerPlacement(ranks=$ranks, slotsPerRank=$slotsPerRank)"

    companion object {
        /** Marks a slot without an expert. */
        const val EMPTY: Int = -1

        /**
         * Creates a placement from one entry per slot.
         *
         * @throws IllegalArgumentException when the arrays do not have `ranks * slotsPerRank` entries.
         */
        fun of(
            ranks: Int,
            slotsPerRank: Int,
            experts: IntArray,
            shares: DoubleArray,
        ): LayerPlacement {
            require(experts.size == ranks * slotsPerRank) { "experts has ${experts.size} entries" }
            require(shares.size == experts.size) { "shares has ${shares.size} entries" }
            return LayerPlacement(ranks, slotsPerRank, experts.copyOf(), shares.copyOf())
        }
    }
}
