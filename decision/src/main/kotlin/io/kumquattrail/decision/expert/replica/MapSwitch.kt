package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.time.MonotonicTime

/** An order that is due to be sent to one rank. */
data class DueOrder(
    val rank: Int,
    val order: RankOrder,
)

/**
 * Switches a group from one expert map to another so that no pass begins with two maps.
 *
 * An order can be lost or delayed, one that seems lost can still be carried out seconds later, and a process that
 * stood still can continue beside its successor. Ranks need not check fencing numbers, so the outcome of a switch is
 * decided by states of the ranks that no late order can reverse:
 * - The first rank holds the group before the pass at which ranks switch. Only the process that has held this pass
 *   begins to order ranks to switch there.
 * - The switch takes place once every rank is armed. The group is then released.
 * - The switch is cancelled once one rank that is not armed has prepared a newer version: it refuses the older one
 *   for good, so that the ranks can no longer all be armed. Only then are other ranks disarmed, and each prepares a
 *   newer version as well. The group is released when all of them have.
 *
 * These two outcomes exclude each other, so any number of processes can work on the same switch.
 * Two processes that hold the same pass for switches of their own are not told apart: a release by one also ends the
 * hold of the other.
 *
 * @param states states that the ranks have reported, ordered by rank.
 * @param currentMap map that the ranks use until they switch.
 */
class MapSwitch private constructor(
    states: List<RankState>,
    private var version: Long,
    private val map: ReplicaMap?,
    private val currentMap: ReplicaMap,
    startedAt: MonotonicTime,
    private val settings: MapSwitchSettings,
    initialPhase: MapSwitchPhase,
    private var pass: Long,
) {
    private val epoch = states.first().epoch
    private val ranks = states.map { RankProgress().apply { armedVersion = it.armedVersion } }
    private val prepareDeadline = startedAt + settings.prepareTimeout

    // A hold that was refused after an unknown outcome counts as HOLDS_PER_DOUBLING.
    private var weightedRefusals = 0
    private var estimatedPass = states.maxOf { it.pass }
    private var highestVersion = maxOf(version, states.maxOf { it.highestVersion })

    // Whether a rank refuses the version for good, so that the other ranks may be disarmed.
    private var isRefusedForGood = false
    private var isWithdrawn = false

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

            MapSwitchPhase.HOLDING -> {
                orderToFirst(now, RankOrder.Hold(pass))
            }

            MapSwitchPhase.ARMING -> {
                ordersToAll(now) { RankOrder.Arm(version, pass) }
            }

            MapSwitchPhase.SUPERSEDING -> {
                ordersToAll(now, ::supersedingOrder)
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
            OrderResponse.ACCEPTED -> recordAccepted(progress, order)
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
        highestVersion = maxOf(highestVersion, states.maxOfOrNull { it.highestVersion } ?: 0)
        if (states.any { it.epoch != epoch || !it.isOpen }) {
            // A new formation starts with nothing prepared, armed or held.
            phase = MapSwitchPhase.ABANDONED
            return
        }
        val firstRank = states.find { it.rank == 0 }
        states.forEach { state ->
            val progress = ranks.getOrNull(state.rank) ?: return@forEach
            resolveFromReport(progress, state, firstRank, now)
        }
        advance()
    }

    /**
     * Ends the switch without a change if no rank has been ordered to switch yet; otherwise the switch goes on.
     *
     * A process that is no longer responsible for the group calls this, so that it does not hold the group in vain.
     */
    fun withdraw() {
        isWithdrawn = true
        val first = ranks.first()
        when {
            phase == MapSwitchPhase.PREPARING -> phase = MapSwitchPhase.ABANDONED
            phase != MapSwitchPhase.HOLDING -> Unit
            first.inFlight || first.hasUnknownOutcome -> enterPhase(MapSwitchPhase.UNHOLDING)
            else -> phase = MapSwitchPhase.ABANDONED
        }
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
        if (isWithdrawn) {
            phase = MapSwitchPhase.ABANDONED
            return
        }
        // If the group advances faster than holds are answered, passes further ahead are tried.
        pass = estimatedPass + (settings.passesAhead shl minOf(weightedRefusals / HOLDS_PER_DOUBLING, MOST_DOUBLINGS))
        phase = MapSwitchPhase.HOLDING
        ranks.first().clearOrder()
    }

    private fun recordAccepted(
        progress: RankProgress,
        order: RankOrder,
    ) {
        when (order) {
            is RankOrder.Arm -> {
                progress.armedVersion = order.version
                progress.accepted = true
            }

            is RankOrder.Disarm -> {
                progress.armedVersion = null
                progress.clearOrder()
            }

            is RankOrder.Prepare -> {
                progress.accepted = true
                if (phase == MapSwitchPhase.SUPERSEDING) isRefusedForGood = true
            }

            is RankOrder.Hold, is RankOrder.Release -> {
                progress.accepted = true
            }
        }
    }

    private fun advance() {
        when (phase) {
            MapSwitchPhase.HOLDING -> if (ranks.first().accepted) enterPhase(MapSwitchPhase.ARMING)
            MapSwitchPhase.UNHOLDING -> if (ranks.first().accepted) holdNextPass()
            MapSwitchPhase.ARMING -> if (ranks.all { it.accepted }) enterPhase(MapSwitchPhase.RELEASING)
            MapSwitchPhase.RELEASING -> if (ranks.first().accepted) phase = MapSwitchPhase.DONE
            MapSwitchPhase.SUPERSEDING -> advanceSuperseding()
            MapSwitchPhase.RELEASING_UNCHANGED -> if (ranks.first().accepted) phase = MapSwitchPhase.ABANDONED
            MapSwitchPhase.PREPARING, MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED -> Unit
        }
    }

    private fun advanceSuperseding() {
        val firstArmed = ranks.first().armedVersion
        if (ranks.all { it.accepted }) {
            enterPhase(MapSwitchPhase.RELEASING_UNCHANGED)
        } else if (!isRefusedForGood && firstArmed != null && ranks.all { it.armedVersion == firstArmed }) {
            version = firstArmed
            enterPhase(MapSwitchPhase.ARMING)
        }
    }

    private fun beginSuperseding() {
        enterPhase(MapSwitchPhase.SUPERSEDING)
        advanceSuperseding()
    }

    // Returns the next order to a rank that must not switch any more, or null if it has to wait.
    private fun supersedingOrder(progress: RankProgress): RankOrder? {
        val armed = progress.armedVersion
        return when {
            armed == null -> RankOrder.Prepare(supersedingVersion(highestVersion), currentMap)
            isRefusedForGood -> RankOrder.Disarm(armed)
            else -> null
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
        if (progress.hasUnknownOutcome || order is RankOrder.Arm || phase == MapSwitchPhase.SUPERSEDING) {
            // The rank may refuse an order that it has already carried out, or one that the orders of another process
            // preceded. Its report shows its state, once the report lag has passed.
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

            is RankOrder.Arm, is RankOrder.Disarm -> {
                error("the report of the rank decides")
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
        firstRank: RankState?,
        now: MonotonicTime,
    ) {
        val decidesFrom = progress.reportDecidesFrom ?: return
        if (now < decidesFrom) return
        // In these phases the group is held, unless another process has ended the switch.
        val needsHold = phase == MapSwitchPhase.ARMING || phase == MapSwitchPhase.SUPERSEDING
        if (needsHold && firstRank == null) return
        progress.reportDecidesFrom = null
        progress.hasUnknownOutcome = false
        progress.sentAt = null
        if (needsHold && firstRank?.heldPass != pass) {
            phase = MapSwitchPhase.ABANDONED
            return
        }
        when (phase) {
            // The experts that the rank has copied show whether it prepares, so the order is not repeated.
            MapSwitchPhase.PREPARING -> {
                progress.accepted = true
            }

            MapSwitchPhase.HOLDING -> {
                if (state.heldPass == pass) progress.accepted = true else holdNextPass()
            }

            MapSwitchPhase.ARMING -> {
                progress.armedVersion = state.armedVersion
                if (state.armedVersion == version) progress.accepted = true else beginSuperseding()
            }

            MapSwitchPhase.SUPERSEDING -> {
                progress.armedVersion = state.armedVersion
                if (state.armedVersion == null && isSuperseded(state.preparedVersion ?: 0)) {
                    progress.accepted = true
                    isRefusedForGood = true
                }
            }

            MapSwitchPhase.RELEASING, MapSwitchPhase.RELEASING_UNCHANGED, MapSwitchPhase.UNHOLDING -> {
                progress.accepted = state.heldPass == null
            }

            MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED -> {
                Unit
            }
        }
    }

    // Versions of a rank only increase. A newer version of a map would not do, as the rank can still be armed for it.
    private fun isSuperseded(preparedVersion: Long): Boolean = preparedVersion > version && preparedVersion % 2 == 1L

    private fun enterPhase(next: MapSwitchPhase) {
        phase = next
        ranks.forEach { it.clearOrder() }
    }

    private fun isCurrent(order: RankOrder): Boolean =
        when (order) {
            is RankOrder.Prepare -> {
                phase == (if (order.version == version) MapSwitchPhase.PREPARING else MapSwitchPhase.SUPERSEDING)
            }

            is RankOrder.Hold -> {
                phase == MapSwitchPhase.HOLDING && order.pass == pass
            }

            is RankOrder.Arm -> {
                phase == MapSwitchPhase.ARMING
            }

            is RankOrder.Disarm -> {
                phase == MapSwitchPhase.SUPERSEDING
            }

            is RankOrder.Release -> {
                phase in RELEASE_PHASES && order.pass == pass
            }
        }

    private fun ordersToAll(
        now: MonotonicTime,
        order: (RankProgress) -> RankOrder?,
    ): List<DueOrder> = ranks.indices.mapNotNull { orderIfDue(it, now, order) }

    private fun orderToFirst(
        now: MonotonicTime,
        order: RankOrder,
    ): List<DueOrder> = listOfNotNull(orderIfDue(rank = 0, now = now) { order })

    private fun orderIfDue(
        rank: Int,
        now: MonotonicTime,
        orderOf: (RankProgress) -> RankOrder?,
    ): DueOrder? {
        val progress = ranks[rank]
        val isRecentlySent = progress.sentAt?.let { now - it < settings.resendAfter } ?: false
        if (progress.accepted || progress.inFlight || isRecentlySent || progress.reportDecidesFrom != null) return null
        val order = orderOf(progress) ?: return null
        progress.sentAt = now
        progress.inFlight = true
        return DueOrder(rank, order)
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

        /** Returns an even version above [highest] and [steps] further ones, for the map of a switch. */
        fun versionAfter(
            highest: Long,
            steps: Int,
        ): Long = (highest / 2 + 1 + steps) * 2

        // Odd, so that it differs from the versions that other processes give to their maps at the same time.
        private fun supersedingVersion(highest: Long): Long = (highest + 1) or 1

        /** Starts the switch of a group from [currentMap] to [map], which gets the number [version]. */
        fun begin(
            states: List<RankState>,
            version: Long,
            map: ReplicaMap,
            currentMap: ReplicaMap,
            now: MonotonicTime,
            settings: MapSwitchSettings = MapSwitchSettings(),
        ): MapSwitch = MapSwitch(states, version, map, currentMap, now, settings, MapSwitchPhase.PREPARING, pass = 0)

        /**
         * Returns a switch that ends the one that another process has left unfinished, or `null` if no rank reports a
         * held pass.
         *
         * If a rank is armed, the switch is completed, as all may be. Otherwise it is cancelled.
         *
         * @param currentMap map that the ranks use.
         */
        fun takeOver(
            states: List<RankState>,
            currentMap: ReplicaMap,
            now: MonotonicTime,
            settings: MapSwitchSettings = MapSwitchSettings(),
        ): MapSwitch? {
            val pass = states.firstNotNullOfOrNull { it.heldPass } ?: return null
            val armedVersion = states.firstNotNullOfOrNull { it.armedVersion }
            val phase = if (armedVersion != null) MapSwitchPhase.ARMING else MapSwitchPhase.SUPERSEDING
            val version = armedVersion ?: states.maxOf { it.highestVersion }
            return MapSwitch(states, version, map = null, currentMap, now, settings, phase, pass)
        }
    }
}
