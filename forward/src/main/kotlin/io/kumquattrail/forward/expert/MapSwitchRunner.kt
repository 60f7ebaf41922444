package io.kumquattrail.forward.expert

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.MapSwitch
import io.kumquattrail.decision.expert.replica.MapSwitchPhase
import io.kumquattrail.decision.expert.replica.RankState
import io.kumquattrail.forward.log.EventLog
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gives the orders of map switches to the ranks of groups and brings their answers back. */
internal class MapSwitchRunner(
    private val control: RankControl,
    private val log: EventLog,
) {
    private var lastFence = 0L

    /** Returns what each of [servers] reports of itself; servers that do not answer are left out. */
    suspend fun states(servers: List<BackendServer>): List<RankState> =
        coroutineScope { servers.map { async { control.state(it) } }.awaitAll() }.filterNotNull()

    /**
     * Runs [switch] on the ranks of [view] until it is over.
     *
     * @param version version of the new map; 0 when a switch is taken over.
     * @param copyTime time in which the ranks copy the experts of the new map.
     * @param reachedPass returns the pass that the group has probably reached.
     */
    suspend fun run(
        view: GroupView,
        switch: MapSwitch,
        version: Long,
        copyTime: Duration,
        reachedPass: () -> Long = { 0 },
    ) {
        val began = ProcessClock.monotonic()
        val fence = maxOf(lastFence + FENCES_PER_SWITCH, ProcessClock.wall().milliseconds)
        lastFence = fence
        var phase = switch.phase
        var armed: Duration? = null
        var waitedForCopies = false
        coroutineScope {
            while (!switch.isOver && ProcessClock.monotonic() - began < LONGEST_SWITCH) {
                switch.due(ProcessClock.monotonic()).forEach { due ->
                    launch {
                        val server = view.ranks[due.rank]
                        val number = if (due.takesBack) fence + 1 else fence
                        val answer = control.order(server, due.order, view.epoch, number)
                        switch.answered(due.rank, due.order, answer, ProcessClock.monotonic())
                    }
                }
                if (switch.phase != phase) {
                    phase = switch.phase
                    if (phase == MapSwitchPhase.HOLDING) armed = ProcessClock.monotonic() - began
                }
                delay(STEP_POLL)
                if (switch.awaitsReport) {
                    switch.reported(states(view.ranks), ProcessClock.monotonic())
                    delay(REPORT_POLL)
                }
                if (switch.awaitsCopies) {
                    delay(if (waitedForCopies) COPY_POLL else copyTime * COPY_TIME_MARGIN)
                    waitedForCopies = true
                    findCopied(view, switch, version, reachedPass)
                }
            }
        }
        log.log(
            "map_switched",
            "service" to view.service,
            "group" to view.group,
            "version" to version,
            "outcome" to switch.phase,
            "epoch" to view.epoch,
            "fence" to fence,
            "pass" to switch.switchPass,
            "refused_holds" to switch.refusedHolds,
            "prepared_ms" to armed?.inWholeMilliseconds,
            "total_ms" to (ProcessClock.monotonic() - began).inWholeMilliseconds,
        )
    }

    private suspend fun findCopied(
        view: GroupView,
        switch: MapSwitch,
        version: Long,
        reachedPass: () -> Long,
    ) = coroutineScope {
        switch.copying.forEach { rank ->
            launch {
                if (control.holdings(view.ranks[rank])?.preparedVersion == version) switch.copied(rank, reachedPass())
            }
        }
    }

    private companion object {
        /** Fencing numbers of one switch: one to order it and one to take it back. */
        const val FENCES_PER_SWITCH = 2

        /** Interval between looks at the copying ranks, about the time of one more copy. */
        val COPY_POLL = 60.milliseconds

        /** Copies take a little longer than the link alone needs. */
        const val COPY_TIME_MARGIN = 1.05

        /** Interval between reports while the answer to an order is in doubt. */
        val REPORT_POLL = 60.milliseconds

        /** Interval between steps of a switch; a held group waits for it. */
        val STEP_POLL = 3.milliseconds

        /** A switch that takes longer has lost its ranks; the next look finds what it left. */
        val LONGEST_SWITCH = 15.seconds
    }
}
