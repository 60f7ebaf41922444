package io.kumquattrail.decision.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.record.RecordKey
import io.kumquattrail.decision.record.RecordKind
import io.kumquattrail.decision.record.RemovedRecord
import kotlin.random.Random

private fun state(vararg deltas: RecordDelta) = ConfigurationState(testDecoder).apply { deltas.forEach(::apply) }

private val ConfigurationState.north: Boolean? get() = records.zone(ZoneName("north"))?.inService

class ConfigurationStateSpec :
    DescribeSpec({
        describe("revisions") {
            it("do not go back when a stale replica or a late message delivers an old delta") {
                val state = state(delta(0, 5, entry(5, "out")))
                state.apply(delta(0, 4, entry(4, "in"))) shouldBe ApplyOutcome.NotNewer(5)
                state.north shouldBe false
            }

            it("keep a newer record when an overlapping delta carries its older version") {
                val state = state(delta(0, 5, entry(5, "out")))
                state.apply(delta(0, 6, entry(4, "in"), entry(6, "in", name = "south")))
                state.north shouldBe false
                state.revision shouldBe 6
            }

            it("stand for complete prefixes: a delta that starts above the own revision would leave a gap") {
                val state = state(delta(0, 3, entry(3, "in")))
                state.apply(delta(4, 5, entry(5, "out"))) shouldBe ApplyOutcome.Gap(3)
                state.north shouldBe true
            }

            it("do not advance on a delta of a peer that keeps fewer kinds") {
                val state = state()
                val narrow = delta(0, 5, entry(5, "in"), subscription = RecordSubscription.AGENT)
                state.apply(narrow) shouldBe ApplyOutcome.KindsMissing
                state.revision shouldBe 0
            }

            it("reject a delta with an entry outside its range, which a complete prefix cannot hold") {
                state().apply(delta(0, 5, entry(6, "in"))).shouldBeInstanceOf<ApplyOutcome.OutsideRange>()
            }
        }

        describe("a rejected record") {
            it("leaves the last valid version in effect and is named with its reason") {
                val state = state(delta(0, 1, entry(1, "out")), delta(1, 2, entry(2, "bad")))
                state.north shouldBe false
                state.revision shouldBe 2
                state.rejected.values shouldContainExactly
                    listOf(RejectedEntry(EntryKey("zone", "north"), 2, RejectionReason.Malformed("value")))
            }

            it("is forgotten when a valid version follows") {
                val state = state(delta(0, 2, entry(2, "bad")), delta(2, 3, entry(3, "in")))
                state.rejected.shouldBeEmpty()
                state.north shouldBe true
            }

            it("reaches new processes with the last valid version, so that all have the same records in effect") {
                val state = state(delta(0, 1, entry(1, "out")), delta(1, 2, entry(2, "bad")))
                state(state.delta(0)).north shouldBe false
            }

            it("of an unknown kind is passed on to processes that understand it") {
                val unknown = entry(1, "value", kind = "future")
                val state = state(delta(0, 1, unknown))
                state.rejected.values.map { it.reason } shouldContainExactly listOf(RejectionReason.UnknownKind)
                state.delta(0).entries shouldContainExactly listOf(unknown)
            }

            it("does not take effect under a foreign key") {
                val state = ConfigurationState({ testDecoder.decode(entry(it.revision, "in", name = "other")) })
                state.apply(delta(0, 1, entry(1, "in")))
                state.rejected.values.map { it.reason } shouldContainExactly
                    listOf(RejectionReason.KeyMismatch(EntryKey("zone", "other")))
            }
        }

        describe("a removal") {
            it("stays a record, so that an old copy cannot bring the zone back") {
                val state = state(delta(0, 1, entry(1, "in")), delta(1, 2, entry(2, "removed")))
                state.apply(delta(0, 3, entry(1, "in"), entry(3, "in", name = "south")))
                state.records.records[RecordKey(RecordKind.ZONE, "north")].shouldBeInstanceOf<RemovedRecord>()
                state.delta(0).entries.map { it.revision } shouldContainExactly listOf(2L, 3L)
            }
        }

        describe("key-owner generations") {
            fun service(
                revision: Long,
                value: String,
            ) = entry(revision, value, name = "ledger", kind = "service")

            fun ConfigurationState.owners() =
                records.service(ServiceName("ledger"))?.keyOwners?.map { it.servers[0].value }

            it("may be added") {
                val state = state(delta(0, 1, service(1, "0-10=a")), delta(1, 2, service(2, "0-10=a,10-20=b")))
                state.owners() shouldBe listOf("a", "b")
            }

            listOf(
                "changed servers" to "0-10=b",
                "a changed interval" to "0-11=a",
                "a dropped generation" to "",
            ).forEach {
                it("with ${it.first} are refused, as two owners could run one key") {
                    val state = state(delta(0, 1, service(1, "0-10=a")), delta(1, 2, service(2, it.second)))
                    state.owners() shouldBe listOf("a")
                    state.rejected.values
                        .single()
                        .reason
                        .shouldBeInstanceOf<RejectionReason.GenerationChanged>()
                }
            }

            it("are remembered after the removal of their service") {
                val state = state(delta(0, 1, service(1, "0-10=a")), delta(1, 2, service(2, "removed")))
                state.apply(delta(2, 3, service(3, "0-10=b")))
                state.owners() shouldBe null
            }

            it("of a removed service reach processes that start later, so that these refuse other owners too") {
                val old = state(delta(0, 1, service(1, "0-10=a")), delta(1, 2, service(2, "removed")))
                val fresh = state(old.delta(0))
                fresh.apply(delta(2, 3, service(3, "0-10=b")))
                fresh.owners() shouldBe null
            }

            it("keep the address of their servers, as the agent at the old address could run the keys too") {
                val server = {
                    revision: Long,
                    address: String,
                    ->
                    entry(revision, address, name = "a", kind = "server")
                }
                val state = state(delta(0, 2, service(1, "0-10=a"), server(2, "10.0.0.1:7000")))
                state.apply(delta(2, 3, server(3, "10.0.0.2:7000")))
                state.records.server(ServerName("a"))?.address shouldBe "10.0.0.1:7000"
                state.rejected.values
                    .single()
                    .reason shouldBe RejectionReason.OwnerMoved("10.0.0.1:7000")
            }

            it("must not overlap, as a key of both would have two owners") {
                val state = state(delta(0, 1, service(1, "0-10=a,9-20=b")))
                state.rejected.values
                    .single()
                    .reason
                    .shouldBeInstanceOf<RejectionReason.GenerationsOverlap>()
            }
        }

        describe("a subscription") {
            it("keeps organisations away from agents and passes their deltas on as incomplete") {
                val organisation = entry(2, "in", name = "hanbit", kind = "organisation")
                val gateway = state(delta(0, 2, entry(1, "in"), organisation))
                val agent = ConfigurationState(testDecoder, RecordSubscription.AGENT)
                agent.apply(gateway.delta(0, RecordSubscription.AGENT))
                agent.entries.map { it.kind } shouldContainExactly listOf("zone")
                agent.revision shouldBe 2
                agent.delta(0).subscription shouldBe RecordSubscription.AGENT
            }
        }

        describe("deltas") {
            it("bring any process to the same records whatever the order, loss and repetition of messages") {
                val random = Random(7)
                val published =
                    (1L..400L).map {
                        entry(
                            it,
                            listOf("in", "out", "bad", "removed").random(random),
                            "${random.nextInt(9)}",
                        )
                    }
                val source = state()
                val follower = state()
                published.forEach { newest ->
                    source.apply(delta(newest.revision - 1, newest.revision, newest))
                    val after = random.nextLong(source.revision + 1)
                    if (random.nextInt(3) == 0) follower.apply(source.delta(after))
                }
                follower.apply(source.delta(follower.revision))
                follower.records.records shouldBe source.records.records
                follower.rejected.keys shouldBe source.rejected.keys
            }

            it("hold each record once however often it was published, so that memory stays bounded") {
                val state = state()
                repeat(1_000) { state.apply(delta(it.toLong(), it + 1L, entry(it + 1L, "in"))) }
                state.delta(0).entries.map { it.revision } shouldContainExactly listOf(1_000L)
                state.delta(1_000).entries.shouldBeEmpty()
            }
        }
    })
