package io.kumquattrail.forward.expert

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.ChoiceCounter
import io.kumquattrail.decision.expert.replica.PaceWatch
import io.kumquattrail.decision.expert.replica.ReplicaMap
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.time.MonotonicTime

/**
 * What the keeper of maps knows of one formation of a group.
 *
 * @property ranks servers by rank.
 */
internal class GroupView(
    val service: ServiceName,
    val group: GroupName,
    val epoch: Long,
    val ranks: List<BackendServer>,
    var map: ReplicaMap,
    var highestVersion: Long,
) {
    /** Time of the last look; before the first, the group is due for one. */
    var lookedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /** Time of the last look if it showed too little to decide. */
    var undecidedAt: MonotonicTime? = null
    val counter = ChoiceCounter()

    /**
     * Rank whose counts are read. Requests are spread evenly over the ranks, so those of one show the popularity; each
     * reading from another VM pauses the group for a moment.
     */
    var countedRank: BackendServer = ranks.first()
        private set
    val pace = PaceWatch()

    /** Servers of the group. */
    val members: Set<ServerName> = ranks.mapTo(HashSet()) { it.name }

    /** Goes over to the counts of the next rank, as the present one does not answer. */
    fun countAnotherRank() {
        countedRank = ranks[(ranks.indexOf(countedRank) + 1) % ranks.size]
        counter.reset()
    }
}
