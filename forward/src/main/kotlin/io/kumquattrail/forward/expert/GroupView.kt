package io.kumquattrail.forward.expert

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.ChoiceCounter
import io.kumquattrail.decision.expert.replica.ReplicaMap
import io.kumquattrail.decision.expert.replica.SlowdownDetector
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.time.MonotonicTime

/**
 * State that the map leader keeps for one formation of a group.
 *
 * @property ranks servers in the order of their ranks.
 * @property highestVersion highest version of a map that was used, prepared or planned in the formation.
 */
internal class GroupView(
    val service: ServiceName,
    val group: GroupName,
    val epoch: Long,
    val ranks: List<BackendServer>,
    var map: ReplicaMap,
    var highestVersion: Long,
) {
    /** Time of the last check; the initial value makes the group due for its first check. */
    var checkedAt = MonotonicTime(Long.MIN_VALUE / 2)

    /**
     * Time of the last check if it counted too few choices to decide, or, before the first check, time of the
     * survey, whose reading is the baseline of that check; otherwise `null`.
     */
    var undecidedAt: MonotonicTime? = null
    val counter = ChoiceCounter()

    /**
     * Rank whose counts are read. Requests are spread evenly over the ranks, so the counts of one rank show the
     * popularity. Only one rank is read, as each reading from another VM pauses the group for a moment.
     */
    var countedRank: BackendServer = ranks.first()
        private set
    val slowdownDetector = SlowdownDetector()

    val members: Set<ServerName> = ranks.mapTo(HashSet()) { it.name }

    /** Selects the next rank for the counts, as the present one does not respond, and resets the counter. */
    fun countNextRank() {
        countedRank = ranks[(ranks.indexOf(countedRank) + 1) % ranks.size]
        counter.clearAll()
    }
}
