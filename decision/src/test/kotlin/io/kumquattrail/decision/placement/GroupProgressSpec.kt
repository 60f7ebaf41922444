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

/** Ranks 0 to 3 form group a, ranks 4 to 7 group b; each server writes streams that end after a second. */
private class TwoGroups(
    knowsGroups: Boolean = true,
) {
    private val loads = LoadTable()
    private val progress = GroupProgress()
    private val placement = EvenPlacement(loads, ZoneName("z"), groups = progress)
    private val running = ArrayList<Pair<BackendServer, MonotonicTime>>()
    private val members = SERVERS.associate { it.name to if (it.port < 4) GROUP_A else GroupName("b") }
    var now = MonotonicTime.ZERO + 60.seconds
    var sentToA = 0

    init {
        if (knowsGroups) progress.formed(members)
    }

    /** Plays [time] with a request each 20 ms; group a writes nothing, or refuses at once, while [aIs] says so. */
    fun play(
        time: Duration,
        aIs: State,
    ) {
        val ends = now + time
        var request = 0
        while (now < ends) {
            now += 20.milliseconds
            running.filter { (server, until) -> until <= now && !(aIs != State.WORKS && isA(server)) }.forEach(::end)
            running.filter { (server, _) -> !(aIs != State.WORKS && isA(server)) }.forEach { (server, _) ->
                progress.progressed(server.name, now)
            }
            val placed = placement.choose(SERVERS, emptySet(), now, request++) as? PlacementDecision.Place ?: continue
            val server = placed.server
            if (isA(server)) sentToA += 1
            progress.sent(server.name, now)
            if (aIs == State.REFUSES && isA(server)) {
                progress.refused(server.name, now)
            } else {
                loads.started(server.name)
                progress.streamBegan(server.name)
                running += server to now + 1.seconds
            }
        }
    }

    /** Ends the streams of group a, as its ranks do when they stop to wait for a failed one. */
    fun cutA() = running.filter { isA(it.first) }.forEach(::end)

    private fun isA(server: BackendServer) = members.getValue(server.name) == GROUP_A

    private fun end(run: Pair<BackendServer, MonotonicTime>) {
        running.remove(run)
        loads.ended(run.first.name)
        progress.streamEnded(run.first.name)
    }

    enum class State { WORKS, SILENT, REFUSES }
}

class GroupProgressSpec :
    DescribeSpec({
        describe("a group of which a rank fails, beside one that works") {
            it("gets hardly any request once all its streams have been silent for a while") {
                val groups = TwoGroups()
                groups.play(2.seconds, TwoGroups.State.WORKS)
                groups.play(700.milliseconds, TwoGroups.State.SILENT)
                groups.sentToA = 0
                groups.play(800.milliseconds, TwoGroups.State.SILENT)
                groups.sentToA shouldBeLessThanOrEqual 3
            }

            it("gets one request now and then while it refuses, although it is the least loaded") {
                val groups = TwoGroups()
                groups.play(2.seconds, TwoGroups.State.WORKS)
                groups.cutA()
                groups.sentToA = 0
                groups.play(4.seconds, TwoGroups.State.REFUSES)
                groups.sentToA shouldBeLessThanOrEqual 21
            }

            it("gets its share again within half a second of its return") {
                val groups = TwoGroups()
                groups.play(2.seconds, TwoGroups.State.WORKS)
                groups.cutA()
                groups.play(4.seconds, TwoGroups.State.REFUSES)
                groups.play(500.milliseconds, TwoGroups.State.WORKS)
                groups.sentToA = 0
                groups.play(1.seconds, TwoGroups.State.WORKS)
                (groups.sentToA > 20) shouldBe true
            }

            it("has callers return when its usual outage is over, and later the longer it lasts") {
                val progress = GroupProgress(firstOutage = 2.seconds)
                progress.formed(SERVERS.associate { it.name to GROUP_A })
                val began = MonotonicTime.ZERO + 60.seconds
                val names = SERVERS.map { it.name }
                progress.refused(names.first(), began)
                progress.returnsIn(names, began) shouldBe 2.seconds
                progress.returnsIn(names, began + 1.5.seconds) shouldBe 500.milliseconds
                progress.returnsIn(names, began + 4.seconds) shouldBe 2.seconds
                progress.progressed(names.first(), began + 4.seconds)
                progress.refused(names.first(), began + 20.seconds)
                progress.returnsIn(names, began + 20.seconds) shouldBe 2.6.seconds
            }

            it("is not told from the other without knowledge of the groups, and then gets most requests") {
                val groups = TwoGroups(knowsGroups = false)
                groups.play(2.seconds, TwoGroups.State.WORKS)
                groups.cutA()
                groups.sentToA = 0
                groups.play(4.seconds, TwoGroups.State.REFUSES)
                (groups.sentToA > 100) shouldBe true
            }
        }
    })
