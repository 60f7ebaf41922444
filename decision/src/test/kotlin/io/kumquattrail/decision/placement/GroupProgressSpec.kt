package io.kumquattrail.decision.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val GROUP_A = GroupName("a")
private val SERVERS =
    (0..7).map {
        BackendServer(
            name = ServerName("s$it"),
            service = ServiceName("drafting"),
            host = "127.0.0.1",
            port = it,
            zone = ZoneName("z"),
            slots = 8,
        )
    }

/** Simulates two groups: servers 0 to 3 form group a, servers 4 to 7 form group b. Each stream ends after a second. */
private class TwoGroupSimulation(
    reportsGroups: Boolean = true,
) {
    private val loads = LoadTable()
    private val progress = GroupProgress()
    private val placement = EvenPlacement(loads, ZoneName("z"), groups = progress)
    private val running = ArrayList<Pair<BackendServer, MonotonicTime>>()
    private val members = SERVERS.associate { it.name to if (it.port < 4) GROUP_A else GroupName("b") }
    var now = MonotonicTime.ZERO + 60.seconds
    var sentToA = 0

    init {
        if (reportsGroups) progress.updateMembers(members)
    }

    /** Runs for [time] with a new request every 20 ms; [stateOfA] is the state of group a, group b always works. */
    fun simulate(
        time: Duration,
        stateOfA: State,
    ) {
        val ends = now + time
        var request = 0
        while (now < ends) {
            now += 20.milliseconds
            running
                .filter { (server, until) -> until <= now && !(stateOfA != State.WORKS && isA(server)) }
                .forEach(::end)
            running.filter { (server, _) -> !(stateOfA != State.WORKS && isA(server)) }.forEach { (server, _) ->
                progress.recordProgress(server.name, now)
            }
            val placed = placement.choose(SERVERS, emptySet(), now, request++) as? PlacementDecision.Place ?: continue
            val server = placed.server
            if (isA(server)) sentToA += 1
            progress.recordSend(server.name, now)
            if (stateOfA == State.REFUSES && isA(server)) {
                progress.recordRefusal(server.name, now)
            } else {
                loads.started(server.name)
                progress.onStreamStart(server.name)
                running += server to now + 1.seconds
            }
        }
    }

    /** Ends the streams of group a, as its ranks do when they stop waiting for a failed rank. */
    fun endStreamsOfA() = running.filter { isA(it.first) }.forEach(::end)

    private fun isA(server: BackendServer) = members.getValue(server.name) == GROUP_A

    private fun end(stream: Pair<BackendServer, MonotonicTime>) {
        running.remove(stream)
        loads.recordEnd(stream.first.name)
        progress.onStreamEnd(stream.first.name)
    }

    enum class State { WORKS, SILENT, REFUSES }
}

class GroupProgressSpec :
    DescribeSpec({
        describe("a group with a failed rank, beside a group that works") {
            it("a group gets hardly any requests once all its streams have been silent for the stall timeout") {
                val groups = TwoGroupSimulation()
                groups.simulate(2.seconds, TwoGroupSimulation.State.WORKS)
                groups.simulate(700.milliseconds, TwoGroupSimulation.State.SILENT)
                groups.sentToA = 0
                groups.simulate(800.milliseconds, TwoGroupSimulation.State.SILENT)
                groups.sentToA shouldBeLessThanOrEqual 3
            }

            it("a group that refuses requests gets a probe at intervals, although it is the least loaded") {
                val groups = TwoGroupSimulation()
                groups.simulate(2.seconds, TwoGroupSimulation.State.WORKS)
                groups.endStreamsOfA()
                groups.sentToA = 0
                groups.simulate(4.seconds, TwoGroupSimulation.State.REFUSES)
                groups.sentToA shouldBeLessThanOrEqual 21
            }

            it("a group that works again gets its part of the requests within half a second") {
                val groups = TwoGroupSimulation()
                groups.simulate(2.seconds, TwoGroupSimulation.State.WORKS)
                groups.endStreamsOfA()
                groups.simulate(4.seconds, TwoGroupSimulation.State.REFUSES)
                groups.simulate(500.milliseconds, TwoGroupSimulation.State.WORKS)
                groups.sentToA = 0
                groups.simulate(1.seconds, TwoGroupSimulation.State.WORKS)
                (groups.sentToA > 20) shouldBe true
            }

            it("callers are told to retry after the average outage, and later in an outage that lasts longer") {
                val progress = GroupProgress(initialOutage = 2.seconds)
                progress.updateMembers(SERVERS.associate { it.name to GROUP_A })
                val start = MonotonicTime.ZERO + 60.seconds
                val names = SERVERS.map { it.name }
                progress.recordRefusal(names.first(), start)
                progress.estimatedRecovery(names, start) shouldBe 2.seconds
                progress.estimatedRecovery(names, start + 1.5.seconds) shouldBe 500.milliseconds
                progress.estimatedRecovery(names, start + 4.seconds) shouldBe 2.seconds
                progress.recordProgress(names.first(), start + 4.seconds)
                progress.recordRefusal(names.first(), start + 20.seconds)
                progress.estimatedRecovery(names, start + 20.seconds) shouldBe 2.6.seconds
            }

            it("a group that refuses requests gets most of them if the groups of the servers are not reported") {
                val groups = TwoGroupSimulation(reportsGroups = false)
                groups.simulate(2.seconds, TwoGroupSimulation.State.WORKS)
                groups.endStreamsOfA()
                groups.sentToA = 0
                groups.simulate(4.seconds, TwoGroupSimulation.State.REFUSES)
                (groups.sentToA > 100) shouldBe true
            }
        }
    })
