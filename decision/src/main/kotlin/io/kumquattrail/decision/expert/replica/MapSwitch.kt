package io.kumquattrail.decision.expert.replica

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Paces a [MapSwitch].
 *
 * @property resendAfter time after which an order without answer is sent again.
 * @property prepareWithin time within which all ranks must have copied their experts.
 * @property reportLag time for which reports lag behind; a state that followed an order shows after it.
 * @property passesAhead passes between the last known one and the one at which ranks switch.
 * @property holdsAtMost passes that are tried one after the other, as reports lag behind the group by several passes.
 */
data class MapSwitchSettings(
    val resendAfter: Duration = 60.milliseconds,
    val prepareWithin: Duration = 5.seconds,
    val reportLag: Duration = 350.milliseconds,
    val passesAhead: Long = 1,
    val holdsAtMost: Int = 48,
)

/** Tells how far a map switch has come. */
enum class MapSwitchPhase {
    /** The hold that another process has left behind is taken over. */
    TAKING_OVER,

    /** Ranks copy the experts of the new map. */
    PREPARING,

    /** The group is kept from passing the pass at which ranks switch. */
    HOLDING,

    /** It is not known whether the group is held; it is let go before another pass is tried. */
    UNHOLDING,

    /** Ranks are told at which pass to switch. */
    ARMING,

    /** All ranks will switch; the group is let go. */
    RELEASING,

    /** Some ranks may be told to switch and others not; the switch is taken back everywhere. */
    DISARMING,

    /** The switch is taken back everywhere; the group is let go. */
    RELEASING_UNCHANGED,

    /** All ranks use or will use the new map. */
    DONE,

    /** Nothing has changed. */
    ABANDONED,

    /** Another process has taken over the group; it finishes what was begun. */
    FENCED,
}

/**
 * An order that is due.
 *
 * @property takesBack whether the order ends a switch that failed. Such orders need a higher fencing number than those
 *   before, so that a rank refuses an earlier order that was delayed.
 */
data class DueOrder(
    val rank: Int,
    val order: RankOrder,
    val takesBack: Boolean,
)

/**
 * Switches a group from one expert map to another so that no pass begins with two maps.
 *
 * Orders can be lost, and a lost order can be carried out seconds later. The first rank holds the group before the pass
 * at which ranks switch, and is released only after every rank has confirmed that it will switch, or that it will not.
 * A switch is taken back with a higher fencing number than it was ordered with, so a rank refuses what is still on its
 * way. A second process that works on the group uses a higher number, too, and the first is refused from then on.
 *
 * @param states what the ranks reported, in the order of their index.
 */
class MapSwitch private constructor(
    states: List<RankState>,
    private val version: Long,
    private val map: ReplicaMap?,
    startedAt: MonotonicTime,
    private val settings: MapSwitchSettings,
    firstPhase: MapSwitchPhase,
    private var pass: Long,
) {
    private val ranks = states.map { RankProgress() }
    private val prepareUntil = startedAt + settings.prepareWithin
    private var holdsTried = 0
    private var lastPass = states.maxOf { it.pass }

    /** How far the switch has come. */
    var phase: MapSwitchPhase = firstPhase
        private set

    /** Whether nothing remains to be done. */
    val isOver: Boolean
        get() = phase in setOf(MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED)

    /** Holds that the first rank has refused, as their passes had begun. */
    var refusedHolds = 0
        private set

    /** Pass at which ranks switch; 0 before it is chosen. */
    val switchPass: Long get() = pass

    /** Whether all ranks have accepted to prepare, so that their reports tell the rest. */
    val awaitsCopies: Boolean get() = phase == MapSwitchPhase.PREPARING && ranks.all { it.accepted }

    /** Whether a rank's report decides on an order whose answer was lost. */
    val awaitsReport: Boolean get() = ranks.any { it.resolveAfter != null }

    /** Returns the orders to send at [now]. */
    fun due(now: MonotonicTime): List<DueOrder> {
        if (phase == MapSwitchPhase.PREPARING && now > prepareUntil) phase = MapSwitchPhase.ABANDONED
        return when (phase) {
            MapSwitchPhase.PREPARING -> {
                toAll(now) { RankOrder.Prepare(version, checkNotNull(map)) }
            }

            MapSwitchPhase.HOLDING, MapSwitchPhase.TAKING_OVER -> {
                toFirst(now, RankOrder.Hold(pass))
            }

            MapSwitchPhase.ARMING -> {
                toAll(now) { RankOrder.Arm(version, pass) }
            }

            MapSwitchPhase.DISARMING -> {
                toAll(now) { RankOrder.Disarm(version) }
            }

            MapSwitchPhase.RELEASING, MapSwitchPhase.RELEASING_UNCHANGED, MapSwitchPhase.UNHOLDING -> {
                toFirst(now, RankOrder.Release(pass))
            }

            MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED -> {
                emptyList()
            }
        }
    }

    /** Takes in the answer of [rank] to [order]. */
    fun answered(
        rank: Int,
        order: RankOrder,
        answer: OrderAnswer,
        now: MonotonicTime,
    ) {
        val progress = ranks[rank]
        progress.inFlight = false
        if (isOver || !isCurrent(order) || progress.accepted) return
        when (answer) {
            OrderAnswer.ACCEPTED -> progress.accepted = true
            OrderAnswer.UNKNOWN -> progress.uncertain = true
            OrderAnswer.FENCED -> phase = MapSwitchPhase.FENCED
            OrderAnswer.CONFLICT -> conflict(progress, order, now)
        }
        advance()
    }

    /** Takes in what ranks report; [states] may lag behind the orders. */
    fun reported(
        states: List<RankState>,
        now: MonotonicTime,
    ) {
        if (isOver) return
        lastPass = maxOf(lastPass, states.maxOfOrNull { it.pass } ?: 0)
        states.forEach { state ->
            val progress = ranks.getOrNull(state.rank) ?: return@forEach
            resolve(progress, state, now)
        }
        advance()
    }

    /**
     * Takes in that [rank] has copied all experts of the new map.
     *
     * @param reachedPass pass that the group has probably reached.
     */
    fun copied(
        rank: Int,
        reachedPass: Long = lastPass,
    ) {
        if (phase != MapSwitchPhase.PREPARING) return
        lastPass = maxOf(lastPass, reachedPass)
        ranks[rank].copied = true
        ranks[rank].accepted = true
        if (!ranks.all { it.copied }) return
        ranks.forEach { it.nextStep() }
        hold()
    }

    /** Ranks that have not been seen to have copied all experts. */
    val copying: List<Int> get() = ranks.indices.filter { !ranks[it].copied }

    private fun hold() {
        // A group that moves on faster than orders are answered is met by longer steps.
        pass = lastPass + (settings.passesAhead shl minOf(holdsTried / HOLDS_PER_STEP, LONGEST_STEP_POWER))
        phase = MapSwitchPhase.HOLDING
        ranks.first().nextStep()
    }

    private fun advance() {
        when (phase) {
            MapSwitchPhase.TAKING_OVER -> if (ranks.first().accepted) enter(MapSwitchPhase.DISARMING)
            MapSwitchPhase.HOLDING -> if (ranks.first().accepted) enter(MapSwitchPhase.ARMING)
            MapSwitchPhase.UNHOLDING -> if (ranks.first().accepted) hold()
            MapSwitchPhase.ARMING -> if (ranks.all { it.accepted }) enter(MapSwitchPhase.RELEASING)
            MapSwitchPhase.RELEASING -> if (ranks.first().accepted) phase = MapSwitchPhase.DONE
            MapSwitchPhase.DISARMING -> if (ranks.all { it.accepted }) enter(MapSwitchPhase.RELEASING_UNCHANGED)
            MapSwitchPhase.RELEASING_UNCHANGED -> if (ranks.first().accepted) phase = MapSwitchPhase.ABANDONED
            MapSwitchPhase.PREPARING, MapSwitchPhase.DONE, MapSwitchPhase.ABANDONED, MapSwitchPhase.FENCED -> Unit
        }
    }

    private fun conflict(
        progress: RankProgress,
        order: RankOrder,
        now: MonotonicTime,
    ) {
        if (progress.uncertain && phase == MapSwitchPhase.HOLDING) {
            lastPass = maxOf(lastPass, pass)
            holdsTried += HOLDS_PER_STEP
            return enter(MapSwitchPhase.UNHOLDING)
        }
        if (phase == MapSwitchPhase.UNHOLDING) return hold()
        // A rank may refuse to be held twice, so its report decides whether it still is.
        if (progress.uncertain || phase == MapSwitchPhase.TAKING_OVER) {
            // The earlier copy may have been carried out; the report shows it after its lag.
            progress.resolveAfter = progress.resolveAfter ?: (now + settings.reportLag)
            return
        }
        when (order) {
            is RankOrder.Prepare -> {
                phase = MapSwitchPhase.ABANDONED
            }

            is RankOrder.Hold -> {
                lastPass = maxOf(lastPass, order.pass)
                holdsTried += 1
                refusedHolds += 1
                if (holdsTried < settings.holdsAtMost) hold() else phase = MapSwitchPhase.ABANDONED
            }

            is RankOrder.Arm -> {
                enter(MapSwitchPhase.DISARMING)
            }

            // A rank that is not armed has nothing to take back.
            is RankOrder.Disarm -> {
                progress.accepted = true
            }

            // Nothing is held, so the group runs.
            is RankOrder.Release -> {
                progress.accepted = true
            }
        }
    }

    private fun resolve(
        progress: RankProgress,
        state: RankState,
        now: MonotonicTime,
    ) {
        val after = progress.resolveAfter ?: return
        if (now < after) return
        progress.resolveAfter = null
        progress.uncertain = false
        progress.sentAt = null
        when (phase) {
            // Its experts show whether the rank prepares; until then the order is not repeated.
            MapSwitchPhase.PREPARING -> {
                progress.accepted = true
            }

            MapSwitchPhase.TAKING_OVER -> {
                if (state.heldPass == pass) progress.accepted = true else phase = MapSwitchPhase.ABANDONED
            }

            MapSwitchPhase.HOLDING -> {
                if (state.heldPass == pass) progress.accepted = true else hold()
            }

            MapSwitchPhase.ARMING -> {
                if (state.armedVersion == version) progress.accepted = true else enter(MapSwitchPhase.DISARMING)
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

    private fun enter(next: MapSwitchPhase) {
        phase = next
        ranks.forEach { it.nextStep() }
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
                phase in RELEASES && order.pass == pass
            }
        }

    private fun toAll(
        now: MonotonicTime,
        order: () -> RankOrder,
    ): List<DueOrder> = ranks.indices.mapNotNull { dueTo(it, now, order) }

    private fun toFirst(
        now: MonotonicTime,
        order: RankOrder,
    ): List<DueOrder> = listOfNotNull(dueTo(rank = 0, now = now) { order })

    private fun dueTo(
        rank: Int,
        now: MonotonicTime,
        order: () -> RankOrder,
    ): DueOrder? {
        val progress = ranks[rank]
        val recently = progress.sentAt?.let { now - it < settings.resendAfter } ?: false
        if (progress.accepted || progress.inFlight || recently || progress.resolveAfter != null) return null
        progress.sentAt = now
        progress.inFlight = true
        val takesBack = phase == MapSwitchPhase.DISARMING || phase == MapSwitchPhase.RELEASING_UNCHANGED
        return DueOrder(rank = rank, order = order(), takesBack = takesBack)
    }

    companion object {
        /** Holds that are tried before the step to the next pass doubles; reports lag by a few passes. */
        private const val HOLDS_PER_STEP = 6

        /** The longest step is this power of two, about a second of passes. */
        private const val LONGEST_STEP_POWER = 4

        private val RELEASES =
            setOf(MapSwitchPhase.RELEASING, MapSwitchPhase.RELEASING_UNCHANGED, MapSwitchPhase.UNHOLDING)

        /** Begins the switch of a group to [map], which gets [version]. */
        fun begin(
            states: List<RankState>,
            version: Long,
            map: ReplicaMap,
            now: MonotonicTime,
            settings: MapSwitchSettings = MapSwitchSettings(),
        ): MapSwitch = MapSwitch(states, version, map, now, settings, MapSwitchPhase.PREPARING, pass = 0)

        /**
         * Takes back a switch that another process has left behind, or returns `null` when it left nothing.
         *
         * The first rank is held anew before any other rank is touched. From then on it refuses to be released by the
         * other process, which may have all its confirmations and still let the group go.
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
        var uncertain = false
        var inFlight = false
        var sentAt: MonotonicTime? = null
        var resolveAfter: MonotonicTime? = null
        var copied = false

        fun nextStep() {
            accepted = false
            uncertain = false
            inFlight = false
            sentAt = null
            resolveAfter = null
        }
    }
}
