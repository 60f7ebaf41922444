package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.RendezvousHash

/**
 * Chooses the quota owner of an organisation among the live gateways by rendezvous hashing.
 *
 * Gateways are hashed once: hashing 320 names anew for each organisation took most of the time of a gateway after a
 * change of the fleet.
 */
internal class QuotaOwners(
    gateways: Collection<ProcessName>,
) {
    val names: List<ProcessName> = gateways.distinct().sorted()
    private val hashes = LongArray(names.size) { RendezvousHash.weight("quota-owner", names[it].value) }

    fun ownerOf(key: OrganisationKey): ProcessName {
        var best = 0
        for (index in 1 until hashes.size) {
            if (mix(key.value xor hashes[index]) > mix(key.value xor hashes[best])) best = index
        }
        return names[best]
    }

    private fun mix(value: Long): Long {
        val first = (value xor (value ushr SHIFT)) * FIRST_MULTIPLIER
        val second = (first xor (first ushr SHIFT)) * SECOND_MULTIPLIER
        return second xor (second ushr SHIFT)
    }

    private companion object {
        const val SHIFT = 31
        const val FIRST_MULTIPLIER = -4658895280553007687L
        const val SECOND_MULTIPLIER = -7723592293110705685L
    }
}
