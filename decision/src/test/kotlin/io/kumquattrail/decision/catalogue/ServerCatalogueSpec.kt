package io.kumquattrail.decision.catalogue

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SERVICE = ServiceName("drafting")

private fun server(
    name: String,
    zone: String = "a",
    draining: Boolean = false,
    revision: Long = 0,
) = BackendServer(
    name = ServerName(name),
    service = SERVICE,
    host = "127.0.0.1",
    port = 80,
    zone = ZoneName(zone),
    slots = 8,
    draining = draining,
    revision = revision,
)

class ServerCatalogueSpec :
    DescribeSpec({
        val start = MonotonicTime.ZERO

        fun catalogue() = ServerCatalogue().apply { replaceList(listOf(server("s1"), server("s2", zone = "b")), start) }

        fun ServerCatalogue.usableNames() = usable(SERVICE).map { it.name.value }

        describe("a server") {
            it("a server gets no requests once it is draining or removed") {
                val catalogue = catalogue()
                catalogue.recordRegistration(server("s1", draining = true))
                catalogue.recordRemoval(ServerName("s2"), start)
                catalogue.usableNames().shouldBeEmpty()
            }

            it("a server gets no requests while its zone is evacuated, and gets them again afterwards") {
                val catalogue = catalogue()
                catalogue.updateEvacuatedZones(setOf(ZoneName("a")))
                catalogue.usableNames() shouldContainExactly listOf("s2")
                catalogue.updateEvacuatedZones(emptySet())
                catalogue.usableNames() shouldContainExactly listOf("s1", "s2")
            }
        }

        describe("a process that has started and read an older copy of the registry") {
            it("a server that has left at a later revision, as peers report, is not used") {
                val catalogue = catalogue()
                catalogue.mergeDepartures(
                    mapOf(ServerName("s1") to Departure(revision = 5, age = 100.milliseconds)),
                    start,
                )
                catalogue.usableNames() shouldContainExactly listOf("s2")
            }

            it("a server that has left is not used either if the report of peers arrives before the list") {
                val catalogue = ServerCatalogue()
                catalogue.mergeDepartures(
                    mapOf(ServerName("s1") to Departure(revision = 5, age = 100.milliseconds)),
                    start,
                )
                catalogue.replaceList(listOf(server("s1", revision = 4), server("s2")), start)
                catalogue.usableNames() shouldContainExactly listOf("s2")
            }

            it("a server that has registered again since it left is used") {
                val catalogue = ServerCatalogue()
                catalogue.replaceList(listOf(server("s1", revision = 6)), start)
                catalogue.mergeDepartures(
                    mapOf(ServerName("s1") to Departure(revision = 5, age = 100.milliseconds)),
                    start,
                )
                catalogue.usableNames() shouldContainExactly listOf("s1")
            }
        }

        describe("two processes that report departures to each other") {
            // Each would learn anew what it has just forgotten, so that the reports of a fleet only ever grow.
            it("forget a departure some time after it was recorded first") {
                val processes = List(2) { catalogue() }
                processes.first().recordRemoval(ServerName("s1"), start)
                (0..120).forEach { second ->
                    val now = start + second.seconds
                    processes.forEach { sender ->
                        processes.filter { it !== sender }.forEach { it.mergeDepartures(sender.departures(now), now) }
                    }
                }
                processes.forEach { it.departures(start + 120.seconds) shouldBe emptyMap() }
            }
        }

        describe("a registry that was restored from an older copy") {
            it("a server that is missing from the copy is used until running servers have registered again") {
                val catalogue = catalogue()
                catalogue.mergeRestoredList(listOf(server("s2", zone = "b")), start, revision = 1)
                catalogue.usableNames() shouldContainExactly listOf("s1", "s2")
                catalogue.expireLapsed(start + 3.seconds)
                catalogue.usableNames() shouldContainExactly listOf("s2")
            }

            it("an entry that is written after the restoration overrides the one before it") {
                val catalogue = ServerCatalogue()
                catalogue.replaceList(listOf(server("s1", revision = 90)), start)
                catalogue.mergeRestoredList(listOf(server("s1", revision = 10)), start, revision = 50)
                catalogue.replaceList(listOf(server("s1", draining = true, revision = 55)), start)
                catalogue.usableNames().shouldBeEmpty()
            }
        }

        describe("after an outage of the registry") {
            it("a running server whose registration lapsed stays in use until it has registered again") {
                val catalogue = catalogue()
                catalogue.onRegistryReturn(start + 10.seconds, outage = 5.seconds)
                catalogue.replaceList(emptyList(), start + 10.seconds)
                catalogue.usableNames() shouldContainExactly listOf("s1", "s2")
                catalogue.recordRegistration(server("s1"))
                catalogue.expireLapsed(start + 12.seconds).map { it.server.name.value } shouldContainExactly
                    listOf("s2")
                catalogue.usableNames() shouldContainExactly listOf("s1")
            }

            // Otherwise, outages that follow each other more closely than the grace period keep it in use for ever.
            it("a missing server is removed when its grace period ends, also if further outages have ended meanwhile") {
                val catalogue = catalogue()
                (0..4).forEach { second ->
                    val now = start + second.seconds
                    catalogue.onRegistryReturn(now, outage = 1.seconds)
                    catalogue.replaceList(listOf(server("s2", zone = "b")), now)
                    catalogue.expireLapsed(now)
                    catalogue.usableNames() shouldContainExactly (if (second < 2) listOf("s1", "s2") else listOf("s2"))
                }
            }

            // A registration cannot lapse between two reads, so a missing one shows that the server is leaving.
            it("a missing server is removed at once after a failed read that was no outage") {
                val catalogue = catalogue()
                catalogue.onRegistryReturn(start, outage = 300.milliseconds)
                catalogue.replaceList(listOf(server("s2", zone = "b")), start)
                catalogue.usableNames() shouldContainExactly listOf("s2")
            }

            it("a draining server whose registration is missing is removed at once") {
                val catalogue = catalogue()
                catalogue.recordRegistration(server("s1", draining = true))
                catalogue.onRegistryReturn(start, outage = 5.seconds)
                catalogue.recordRemoval(ServerName("s1"), start + 10.milliseconds)
                catalogue.servers.map { it.name.value } shouldBe listOf("s2")
            }
        }
    })
