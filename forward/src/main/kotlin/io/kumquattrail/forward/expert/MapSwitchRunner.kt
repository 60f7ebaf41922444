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

/** Sends the orders of map switches to the ranks of groups and passes the answers to the switches. */
internal class MapSwitchRunner(
    private val control: RankControl,
    private val log: EventLog,
) {
    private var lastFence = 0L

    /** Returns the state that each of [servers] reports; servers that do not respond are left out. */
    suspend fun states(servers: List<BackendServer>): List<RankState> =
        coroutineScope { servers.map { async { control.state(it) } }.awaitAll() }.filterNotNull()

    /**
     * Runs [switch] on the ranks of [view] until it is over, at most for [SWITCH_TIMEOUT].
     *
     * @param version version of the new map; 0 when a switch is taken over.
     * @param copyTime time that the ranks need to copy the experts of the new map.
     * @param isResponsible returns whether this process still manages the expert maps.
     * @param reachedPass returns the pass that the group has reached by estimate.
     */
    suspend fun run(
        view: GroupView,
        switch: MapSwitch,
        version: Long,
        copyTime: Duration,
        isResponsible: () -> Boolean,
        reachedPass: () -> Long = { 0 },
    ) {
        val startedAt = ProcessClock.monotonic()
        val fence = maxOf(lastFence + 1, ProcessClock.wall().milliseconds)
        lastFence = fence
        var phase = switch.phase
        var preparationTime: Duration? = null
        var waitedForCopies = false
        coroutineScope {
            while (!switch.isOver && ProcessClock.monotonic() - startedAt < SWITCH_TIMEOUT) {
                if (!isResponsible()) switch.withdraw()
                switch.dueOrders(ProcessClock.monotonic()).forEach { due ->
                    launch {
                        val server = view.ranks[due.rank]
                        val response = control.order(server, due.order, view.epoch, fence)
                        switch.recordResponse(due.rank, due.order, response, ProcessClock.monotonic())
                    }
                }
                if (switch.phase != phase) {
                    phase = switch.phase
                    if (phase == MapSwitchPhase.HOLDING) preparationTime = ProcessClock.monotonic() - startedAt
                }
                delay(STEP_INTERVAL)
                if (switch.awaitsReport) {
                    switch.recordReports(states(view.ranks), ProcessClock.monotonic())
                    delay(REPORT_POLL_INTERVAL)
                }
                if (switch.awaitsCopies) {
                    delay(if (waitedForCopies) COPY_POLL_INTERVAL else copyTime * COPY_TIME_MARGIN)
                    waitedForCopies = true
                    checkCopies(view, switch, version, reachedPass)
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
            "prepared_ms" to preparationTime?.inWholeMilliseconds,
            "total_ms" to (ProcessClock.monotonic() - startedAt).inWholeMilliseconds,
        )
    }

    private suspend fun checkCopies(
        view: GroupView,
        switch: MapSwitch,
        version: Long,
        reachedPass: () -> Long,
    ) = coroutineScope {
        switch.copyingRanks.forEach { rank ->
            launch {
                if (control.holdings(view.ranks[rank])?.preparedVersion == version) {
                    switch.recordCopied(rank, reachedPass())
                }
            }
        }
    }

    private companion object {
        /** Interval between checks of the ranks that copy, about the time that one more copy takes. */
        val COPY_POLL_INTERVAL = 60.milliseconds

        /** Factor for the time of copies, which take a little longer than the transfer alone. */
        const val COPY_TIME_MARGIN = 1.05

        /** Interval between reads of the ranks' state while it is unknown whether they accepted an order. */
        val REPORT_POLL_INTERVAL = 60.milliseconds

        /** Interval between steps of a switch; a held group waits for up to this time. */
        val STEP_INTERVAL = 3.milliseconds

        /**
         * Time after which a switch is abandoned because ranks no longer respond; the next survey reads the state in
         * which it left them.
         */
        val SWITCH_TIMEOUT = 15.seconds
    }
}
