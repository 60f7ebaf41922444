package io.kumquattrail.decision.timeline

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.decision.time.WallTime

private class Recorder(
    name: String,
    private val zoneName: String,
    private val skew: Long,
) {
    val clock = HybridLogicalClock()
    private val ring = EventRing(clock)
    private val process = ProcessName(name)

    fun record(
        event: TimelineEvent,
        at: Long,
    ): HybridTimestamp = ring.append(event, WallTime(at + skew)).timestamp

    fun receive(
        timestamp: HybridTimestamp,
        at: Long,
    ) = clock.observe(timestamp, WallTime(at + skew))

    fun timeline(): ProcessTimeline =
        ZoneName(zoneName).let { zone ->
            ProcessTimeline(process, zone, ring.read().events.map { it.toEntry(process, zone) })
        }
}

private val server = ServerName("server-1")

private fun routed(request: String) =
    TimelineEvent.RequestRouted(request, 1, ServiceName("draft"), server, OrganisationName("hanbit"), 4, 900)

private fun refused(request: String) =
    TimelineEvent.AttemptRefused(request, 1, server, RefusalReason.OVERLOADED, RunState.NO)

class TimelineMergeSpec :
    DescribeSpec({
        val gateway = Recorder("10.0.0.1:7000", "north", skew = 400)
        val agent = Recorder("10.0.0.2:7000", "south", skew = -300)
        val sent = gateway.record(routed("a"), at = 1_000)
        agent.receive(sent, at = 1_001)
        val refusal = agent.record(refused("a"), at = 1_001)
        gateway.receive(refusal, at = 1_002)
        gateway.record(routed("a"), at = 1_002)
        gateway.record(routed("b"), at = 1_003)
        agent.record(TimelineEvent.ZoneOutOfService(ZoneName("north"), 7), at = 1_900)
        agent.record(
            TimelineEvent.MapChange(
                GroupName("g"),
                12,
                MapChangePhase.COMMITTED,
                step = 90,
                ranksAgreed = 8,
                ranks = 8,
            ),
            at = 1_950,
        )
        val timelines = listOf(agent.timeline(), gateway.timeline())

        describe("merging") {
            it("puts a refusal between the two attempts, although the VMs' clocks differ by 700 ms") {
                TimelineMerge
                    .merge(
                        timelines,
                        TimelineFilter(request = "a"),
                    ).entries
                    .map { it.kind } shouldContainExactly
                    listOf("request_routed", "attempt_refused", "request_routed")
            }

            it("shows an event once when overlapping parts of a process were read") {
                TimelineMerge.merge(timelines + timelines).entries shouldHaveSize 6
            }

            it("does not depend on the order in which processes answered") {
                TimelineMerge.merge(timelines.reversed()) shouldBe TimelineMerge.merge(timelines)
            }
        }

        describe("filters") {
            it("by zone select events about the zone, wherever they were recorded, and those recorded in it") {
                TimelineMerge
                    .merge(timelines, TimelineFilter(zone = ZoneName("north")))
                    .entries
                    .map { it.kind } shouldContainExactly
                    listOf("request_routed", "request_routed", "request_routed", "zone_out_of_service")
            }

            it("by map version select the change's phases") {
                TimelineMerge
                    .merge(
                        timelines,
                        TimelineFilter(mapVersion = 12),
                    ).entries
                    .map { it.subject } shouldContainExactly
                    listOf("g")
            }
        }

        describe("renderers") {
            val hostile = Recorder("10.0.0.3:7000", "north", skew = 0)
            hostile.record(routed("<script>\"x\"\n&"), at = 2_000)
            val merged =
                TimelineMerge.merge(
                    listOf(
                        hostile.timeline().copy(dropped = 4),
                        ProcessTimeline(
                            ProcessName("10.0.0.9:7000"),
                            ZoneName("east"),
                            failure = ReadFailure.UNREACHABLE,
                        ),
                    ),
                )

            it("keep one line for each event when a caller's request id holds a line break") {
                TextRenderer.render(merged).lines().filter { it.isNotEmpty() } shouldHaveSize 3
                JsonLinesRenderer.render(merged).lines().filter { it.isNotEmpty() } shouldHaveSize 3
            }

            it("name processes whose events are missing or were dropped") {
                val renderers = listOf(TextRenderer, HtmlRenderer)
                renderers.forEach {
                    it.render(merged) shouldContain "4 events no longer kept"
                    it.render(merged) shouldContain "not reachable"
                }
                JsonLinesRenderer.render(merged) shouldContain "\"dropped\":4,\"failure\":null"
            }

            it("quote what callers chose, so that a request id cannot put a script into the page") {
                HtmlRenderer.render(merged) shouldContain "&lt;script&gt;&quot;x&quot;"
                HtmlRenderer.render(merged) shouldNotContain "<script>\"x\""
                JsonLinesRenderer.render(merged) shouldContain "\"<script>\\\"x\\\"\\u000a&\""
            }

            it("load nothing from outside, as the page is read where there is no network") {
                Regex("""(src|href)\s*=|url\(|@import|https?:""").containsMatchIn(HtmlRenderer.render(merged)) shouldBe
                    false
            }
        }
    })
