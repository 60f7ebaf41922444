package io.kumquattrail.measure.limit

/** Computes the tokens that each organisation would get from an ideally fair system. */
internal object FairShares {
    /**
     * Divides [capacity] by weight, with no organisation above its [demands] entry. Higher priorities come first, except
     * that lower ones keep [reservedShare] of the capacity as far as they have use for it.
     */
    fun of(
        organisations: List<SimulatedOrganisation>,
        demands: DoubleArray,
        capacity: Double,
        reservedShare: Double,
    ): DoubleArray {
        val shares = DoubleArray(organisations.size)
        var left = capacity
        val priorities = organisations.map { it.priority }.distinct().sortedDescending()
        for (priority in priorities) {
            val members = organisations.indices.filter { organisations[it].priority == priority }
            val lowerDemand =
                organisations.indices.filter { organisations[it].priority < priority }.sumOf { demands[it] }
            val part = left - minOf(left * reservedShare, lowerDemand)
            left -= divide(members, organisations, demands, part, shares)
        }
        return shares
    }

    private fun divide(
        members: List<Int>,
        organisations: List<SimulatedOrganisation>,
        demands: DoubleArray,
        capacity: Double,
        shares: DoubleArray,
    ): Double {
        var left = capacity
        var weight = members.sumOf { organisations[it].weight }.toDouble()
        for (member in members.sortedBy { demands[it] / organisations[it].weight }) {
            val share = minOf(demands[member], left * organisations[member].weight / weight)
            shares[member] = share
            left -= share
            weight -= organisations[member].weight
        }
        return capacity - left
    }
}
