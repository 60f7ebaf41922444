package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timing and limits of a [MapSwitch].
 *
 * @property resendAfter time after which an order without a response is sent again.
 * @property prepareTimeout time within which all ranks must have copied their experts.
 * @property reportLag longest time by which reports lag behind; after it, a report shows the result of an order.
 * @property passesAhead number of passes from the estimated current pass to the one at which ranks switch.
 * @property mostHolds refused holds after which the switch is abandoned; one that is refused after an unknown outcome
 *   counts as several. Some refusals are expected: reports lag behind the group by several passes, so the first passes
 *   that are tried may already have begun.
 */
data class MapSwitchSettings(
    val resendAfter: Duration = 60.milliseconds,
    val prepareTimeout: Duration = 5.seconds,
    val reportLag: Duration = 350.milliseconds,
    val passesAhead: Long = 1,
    val mostHolds: Int = 48,
)

/** Phase of a map switch. */
enum class MapSwitchPhase {
    /** The first rank is ordered to hold again the pass that another process has left held. */
    TAKING_OVER,

    /** Ranks copy the experts of the new map. */
    PREPARING,

    /** The first rank is ordered to hold the group before the pass at which ranks switch. */
    HOLDING,

    /** It is unknown whether the group is held; it is released before another pass is tried. */
    UNHOLDING,

    /** Ranks are ordered to switch at the chosen pass. */
    ARMING,

    /** All ranks have confirmed that they will switch; the group is released. */
    RELEASING,

    /** Some ranks may be armed and others not; the switch is cancelled on all ranks. */
    DISARMING,

    /** The switch is cancelled on all ranks; the group is released. */
    RELEASING_UNCHANGED,

    /** All ranks use or will use the new map. */
    DONE,

    /** The switch has ended without changing the map. */
    ABANDONED,

    /** Another process has taken over the group and ends the switch. */
    FENCED,
}

/**
 * An order that is due to be sent to one rank.
 *
 * @property isCancellation whether the order cancels a switch that failed. Such orders need a higher fencing number
 *   than the earlier ones, so that a rank refuses an earlier order that arrives late.
 */
data class DueOrder(
    val rank: Int,
    val order: RankOrder,
    val isCancellation: Boolean,
)

/**
 * Switches a group from one expert map to another so that no pass begins with two maps.
 *
 * An order can be lost or delayed, and one that seems lost can still be carried out seconds later. The first rank
 * therefore holds the group before the pass at which ranks switch. It is released only after every rank has confirmed
 * that it will switch, or every rank has confirmed that it will not. A switch is cancelled with a higher fencing number
 * than it was ordered with, so that ranks refuse earlier orders that are still in transit. A second process that works
 * on the group also uses a higher fencing number, and ranks refuse the orders of the first process from then on.
 *
 * @param states states that the ranks have reported, ordered by rank.
 */
class MapSwitch private constructor(
    states: List<RankState>,
    private val version: Long,
    private val map: ReplicaMap?,
    startedAt: MonotonicTime,
    private val settings: MapSwitchSettings,
    initialPhase: MapSwitchPhase,
    private var pass: Long,
) {
    private val ranks = states.map { RankProgress() }
    private val prepareDeadline = startedAt + settings.prepareTimeout

    // A hold that was refused after an unknown outcome counts as HOLDS_PER_DOUBLING.
    private var weightedRefusals = 0
    private var estimatedPass = states.maxOf { it.pass }

    /** Current phase of the switch. */
    var phase: MapSwitchPhase = initialPhase
        private set

    /** Whether the switch has ended, so that no more orders are due. */
    val isOver: Boolean
        get() = phase in setOf(MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED)

    /** Number of holds that the first rank has refused because their passes had already begun. */
    var refusedHolds = 0
        private set

    /** Pass at which ranks switch, or 0 before it is chosen. */
    val switchPass: Long get() = pass

    /** Whether all ranks have accepted to prepare, so that only reports of copies ([recordCopied]) are missing. */
    val awaitsCopies: Boolean get() = phase == MapSwitchPhase.PREPARING && ranks.all { it.accepted }

    /** Whether the report of a rank is needed to decide whether an order was carried out. */
    val awaitsReport: Boolean get() = ranks.any { it.reportDecidesFrom != null }

    /** Returns the orders to send at [now]. */
    fun dueOrders(now: MonotonicTime): List<DueOrder> {
        if (phase == MapSwitchPhase.PREPARING && now > prepareDeadline) phase = MapSwitchPhase.ABANDONED
        return when (phase) {
            MapSwitchPhase.PREPARING -> {
                ordersToAll(now) { RankOrder.Prepare(version, checkNotNull(map)) }
            }

            MapSwitchPhase.HOLDING, MapSwitchPhase.TAKING_OVER -> {
                orderToFirst(now, RankOrder.Hold(pass))
            }

            MapSwitchPhase.ARMING -> {
                ordersToAll(now) { RankOrder.Arm(version, pass) }
            }

            MapSwitchPhase.DISARMING -> {
                ordersToAll(now) { RankOrder.Disarm(version) }
            }

            MapSwitchPhase.RELEASING, MapSwitchPhase.RELEASING_UNCHANGED, MapSwitchPhase.UNHOLDING -> {
                orderToFirst(now, RankOrder.Release(pass))
            }

            MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED -> {
                emptyList()
            }
        }
    }

    /** Processes the response of [rank] to [order]. */
    fun recordResponse(
        rank: Int,
        order: RankOrder,
        response: OrderResponse,
        now: MonotonicTime,
    ) {
        val progress = ranks[rank]
        progress.inFlight = false
        if (isOver || !isCurrent(order) || progress.accepted) return
        when (response) {
            OrderResponse.ACCEPTED -> progress.accepted = true
            OrderResponse.UNKNOWN -> progress.hasUnknownOutcome = true
            OrderResponse.FENCED -> phase = MapSwitchPhase.FENCED
            OrderResponse.CONFLICT -> handleConflict(progress, order, now)
        }
        advance()
    }

    /** Processes the reported [states] of ranks, which may lag behind the orders. */
    fun recordReports(
        states: List<RankState>,
        now: MonotonicTime,
    ) {
        if (isOver) return
        estimatedPass = maxOf(estimatedPass, states.maxOfOrNull { it.pass } ?: 0)
        states.forEach { state ->
            val progress = ranks.getOrNull(state.rank) ?: return@forEach
            resolveFromReport(progress, state, now)
        }
        advance()
    }

    /**
     * Records that [rank] has copied all experts of the new map.
     *
     * @param reachedPass pass that the group has probably reached.
     */
    fun recordCopied(
        rank: Int,
        reachedPass: Long = estimatedPass,
    ) {
        if (phase != MapSwitchPhase.PREPARING) return
        estimatedPass = maxOf(estimatedPass, reachedPass)
        ranks[rank].copied = true
        ranks[rank].accepted = true
        if (!ranks.all { it.copied }) return
        ranks.forEach { it.clearOrder() }
        holdNextPass()
    }

    /** Indices of the ranks that have not yet reported that all experts are copied. */
    val copyingRanks: List<Int> get() = ranks.indices.filter { !ranks[it].copied }

    private fun holdNextPass() {
        // If the group advances faster than holds are answered, passes further ahead are tried.
        pass = estimatedPass + (settings.passesAhead shl minOf(weightedRefusals / HOLDS_PER_DOUBLING, MOST_DOUBLINGS))
        phase = MapSwitchPhase.HOLDING
        ranks.first().clearOrder()
    }

    private fun advance() {
        when (phase) {
            MapSwitchPhase.TAKING_OVER -> if (ranks.first().accepted) enterPhase(MapSwitchPhase.DISARMING)
            MapSwitchPhase.HOLDING -> if (ranks.first().accepted) enterPhase(MapSwitchPhase.ARMING)
            MapSwitchPhase.UNHOLDING -> if (ranks.first().accepted) holdNextPass()
            MapSwitchPhase.ARMING -> if (ranks.all { it.accepted }) enterPhase(MapSwitchPhase.RELEASING)
            MapSwitchPhase.RELEASING -> if (ranks.first().accepted) phase = MapSwitchPhase.DONE
            MapSwitchPhase.DISARMING -> if (ranks.all { it.accepted }) enterPhase(MapSwitchPhase.RELEASING_UNCHANGED)
            MapSwitchPhase.RELEASING_UNCHANGED -> if (ranks.first().accepted) phase = MapSwitchPhase.ABANDONED
            MapSwitchPhase.PREPARING, MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED -> Unit
        }
    }

    private fun handleConflict(
        progress: RankProgress,
        order: RankOrder,
        now: MonotonicTime,
    ) {
        if (progress.hasUnknownOutcome && phase == MapSwitchPhase.HOLDING) {
            estimatedPass = maxOf(estimatedPass, pass)
            // The group may have begun the pass while the order was sent again, so the distance doubles at once.
            weightedRefusals += HOLDS_PER_DOUBLING
            return enterPhase(MapSwitchPhase.UNHOLDING)
        }
        if (phase == MapSwitchPhase.UNHOLDING) return holdNextPass()
        if (progress.hasUnknownOutcome || phase == MapSwitchPhase.TAKING_OVER) {
            // The rank may refuse an order that it has already carried out: an earlier copy of this one or, in a
            // takeover, the hold of the other process. Its report shows whether it has, once the report lag has passed.
            progress.reportDecidesFrom = progress.reportDecidesFrom ?: (now + settings.reportLag)
            return
        }
        when (order) {
            is RankOrder.Prepare -> {
                phase = MapSwitchPhase.ABANDONED
            }

            is RankOrder.Hold -> {
                estimatedPass = maxOf(estimatedPass, order.pass)
                weightedRefusals += 1
                refusedHolds += 1
                if (weightedRefusals < settings.mostHolds) holdNextPass() else phase = MapSwitchPhase.ABANDONED
            }

            is RankOrder.Arm -> {
                enterPhase(MapSwitchPhase.DISARMING)
            }

            // A rank that is not armed has no switch to cancel.
            is RankOrder.Disarm -> {
                progress.accepted = true
            }

            // The group is not held, so it runs.
            is RankOrder.Release -> {
                progress.accepted = true
            }
        }
    }

    private fun resolveFromReport(
        progress: RankProgress,
        state: RankState,
        now: MonotonicTime,
    ) {
        val decidesFrom = progress.reportDecidesFrom ?: return
        if (now < decidesFrom) return
        progress.reportDecidesFrom = null
        progress.hasUnknownOutcome = false
        progress.sentAt = null
        when (phase) {
            // The experts that the rank has copied show whether it prepares, so the order is not repeated.
            MapSwitchPhase.PREPARING -> {
                progress.accepted = true
            }

            MapSwitchPhase.TAKING_OVER -> {
                if (state.heldPass == pass) progress.accepted = true else phase = MapSwitchPhase.ABANDONED
            }

            MapSwitchPhase.HOLDING -> {
                if (state.heldPass == pass) progress.accepted = true else holdNextPass()
            }

            MapSwitchPhase.ARMING -> {
                if (state.armedVersion == version) progress.accepted = true else enterPhase(MapSwitchPhase.DISARMING)
            }

            MapSwitchPhase.DISARMING -> {
                progress.accepted = state.armedVersion != version
            }

            MapSwitchPhase.RELEASING, MapSwitchPhase.RELEASING_UNCHANGED, MapSwitchPhase.UNHOLDING -> {
                progress.accepted = state.heldPass == null
            }

            MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED -> {
                Unit
            }
        }
    }

    private fun enterPhase(next: MapSwitchPhase) {
        phase = next
        ranks.forEach { it.clearOrder() }
    }

    private fun isCurrent(order: RankOrder): Boolean =
        when (order) {
            is RankOrder.Prepare -> {
                phase == MapSwitchPhase.PREPARING
            }

            is RankOrder.Hold -> {
                phase in setOf(MapSwitchPhase.HOLDING, MapSwitchPhase.TAKING_OVER) && order.pass == pass
            }

            is RankOrder.Arm -> {
                phase == MapSwitchPhase.ARMING
            }

            is RankOrder.Disarm -> {
                phase == MapSwitchPhase.DISARMING
            }

            is RankOrder.Release -> {
                phase in RELEASE_PHASES && order.pass == pass
            }
        }

    private fun ordersToAll(
        now: MonotonicTime,
        order: () -> RankOrder,
    ): List<DueOrder> = ranks.indices.mapNotNull { orderIfDue(it, now, order) }

    private fun orderToFirst(
        now: MonotonicTime,
        order: RankOrder,
    ): List<DueOrder> = listOfNotNull(orderIfDue(rank = 0, now = now) { order })

    private fun orderIfDue(
        rank: Int,
        now: MonotonicTime,
        order: () -> RankOrder,
    ): DueOrder? {
        val progress = ranks[rank]
        val isRecentlySent = progress.sentAt?.let { now - it < settings.resendAfter } ?: false
        if (progress.accepted || progress.inFlight || isRecentlySent || progress.reportDecidesFrom != null) return null
        progress.sentAt = now
        progress.inFlight = true
        val isCancellation = phase == MapSwitchPhase.DISARMING || phase == MapSwitchPhase.RELEASING_UNCHANGED
        return DueOrder(rank = rank, order = order(), isCancellation = isCancellation)
    }

    companion object {
        /**
         * Refused holds after which the distance to the next pass doubles. Reports lag by a few passes, so fewer
         * refusals do not show that the group advances faster than holds are answered.
         */
        private const val HOLDS_PER_DOUBLING = 6

        /** Limit on the doublings, at which the distance is about a second of passes. */
        private const val MOST_DOUBLINGS = 4

        private val RELEASE_PHASES =
            setOf(MapSwitchPhase.RELEASING, MapSwitchPhase.RELEASING_UNCHANGED, MapSwitchPhase.UNHOLDING)

        /** Starts the switch of a group to [map], which gets the number [version]. */
        fun begin(
            states: List<RankState>,
            version: Long,
            map: ReplicaMap,
            now: MonotonicTime,
            settings: MapSwitchSettings = MapSwitchSettings(),
        ): MapSwitch = MapSwitch(states, version, map, now, settings, MapSwitchPhase.PREPARING, pass = 0)

        /**
         * Returns a switch that cancels the one that another process has left unfinished, or `null` if no rank
         * reports a held pass.
         *
         * The first rank is ordered to hold again before any order goes to another rank. From then on it refuses a
         * release by the other process, which may have all its confirmations and could still release the group.
         */
        fun takeOver(
            states: List<RankState>,
            now: MonotonicTime,
            settings: MapSwitchSettings = MapSwitchSettings(),
        ): MapSwitch? {
            val pass = states.firstNotNullOfOrNull { it.heldPass } ?: return null
            val version =
                states.firstNotNullOfOrNull { it.armedVersion } ?: states.maxOf { it.preparedVersion ?: 0 }
            return MapSwitch(states, version, map = null, now, settings, MapSwitchPhase.TAKING_OVER, pass)
        }
    }

    private class RankProgress {
        var accepted = false
        var hasUnknownOutcome = false
        var inFlight = false
        var sentAt: MonotonicTime? = null
        var reportDecidesFrom: MonotonicTime? = null
        var copied = false

        fun clearOrder() {
            accepted = false
            hasUnknownOutcome = false
            inFlight = false
            sentAt = null
            reportDecidesFrom = null
        }
    }
}
