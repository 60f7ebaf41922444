package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName

/**
 * State that a rank reports about itself, some hundred milliseconds old.
 *
 * @property group name of the group.
 * @property epoch number of the group's current formation; a new formation starts with nothing prepared, armed or held.
 * @property rank index of the rank, from 0.
 * @property size number of ranks of the group.
 * @property isOpen whether the formation is open, so that the group runs passes.
 * @property pass the latest pass that has begun.
 * @property mapVersion version of the map in use.
 * @property preparedVersion version whose experts the rank has copied completely; `null` for none.
 * @property armedVersion version to which the rank will switch; `null` for none.
 * @property heldPass pass that the group does not begin before it is released; `null` for none.
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
) {
    /** Highest version that the rank uses, has prepared or is armed for. */
    val highestVersion: Long get() = maxOf(mapVersion, preparedVersion ?: 0, armedVersion ?: 0)
}

/** An order to one rank. */
sealed interface RankOrder {
    /** Copies the experts of [map] that the rank lacks and gives the map the number [version]. */
    data class Prepare(
        val version: Long,
        val map: ReplicaMap,
    ) : RankOrder

    /** Switches to [version] when [pass] begins. */
    data class Arm(
        val version: Long,
        val pass: Long,
    ) : RankOrder

    /** Cancels the switch to [version]. */
    data class Disarm(
        val version: Long,
    ) : RankOrder

    /** Prevents the group from beginning [pass]. */
    data class Hold(
        val pass: Long,
    ) : RankOrder

    /** Allows the group to begin [pass] again. */
    data class Release(
        val pass: Long,
    ) : RankOrder
}

/** Response of a rank to an order. */
enum class OrderResponse {
    /** The rank has started the order, or is already in the state that the order asks for. */
    ACCEPTED,

    /** The order does not match the state of the rank, or other orders preceded it. */
    CONFLICT,

    /** The rank has received a higher fencing number. */
    FENCED,

    /** There was no usable response; the order may be carried out now, later or never. */
    UNKNOWN,
}
