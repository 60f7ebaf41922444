package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName

/**
 * What a rank reports of itself, as of some hundred milliseconds ago.
 *
 * @property group name of the group.
 * @property epoch number of the group's present formation; nothing is prepared, armed or held in a new one.
 * @property rank index of the rank, from 0.
 * @property size ranks of the group.
 * @property isOpen whether the group works.
 * @property pass the last pass that was begun.
 * @property mapVersion version of the map in use.
 * @property preparedVersion version that is prepared completely; `null` for none.
 * @property armedVersion version to which the rank will switch; `null` for none.
 * @property heldPass pass that the group does not begin until it is released; `null` for none.
 */
data class RankState(
    val server: ServerName,
    val group: GroupName,
    val epoch: Long,
    val rank: Int,
    val size: Int,
    val isOpen: Boolean,
    val pass: Long,
    val mapVersion: Long,
    val preparedVersion: Long? = null,
    val armedVersion: Long? = null,
    val heldPass: Long? = null,
)

/** An order to one rank. */
sealed interface RankOrder {
    /** Copies the experts of [map] that the rank lacks, as [version]. */
    data class Prepare(
        val version: Long,
        val map: ReplicaMap,
    ) : RankOrder

    /** Switches to [version] as [pass] begins. */
    data class Arm(
        val version: Long,
        val pass: Long,
    ) : RankOrder

    /** Takes back the switch to [version]. */
    data class Disarm(
        val version: Long,
    ) : RankOrder

    /** Keeps the group from beginning [pass]. */
    data class Hold(
        val pass: Long,
    ) : RankOrder

    /** Lets the group begin [pass]. */
    data class Release(
        val pass: Long,
    ) : RankOrder
}

/** Says how a rank answered an order. */
enum class OrderAnswer {
    /** The order has begun or its state holds. */
    ACCEPTED,

    /** The order does not fit the rank's state, or other orders came before it. */
    CONFLICT,

    /** The rank has seen a higher fencing number. */
    FENCED,

    /** There was no usable answer; the order may be carried out now or later. */
    UNKNOWN,
}
