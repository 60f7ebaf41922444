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

        fun catalogue() = ServerCatalogue().apply { replaced(listOf(server("s1"), server("s2", zone = "b")), start) }

        fun ServerCatalogue.usableNames() = usable(SERVICE).map { it.name.value }

        describe("a server") {
            it("gets no work once it is draining or gone") {
                val catalogue = catalogue()
                catalogue.registered(server("s1", draining = true))
                catalogue.removed(ServerName("s2"), start)
                catalogue.usableNames().shouldBeEmpty()
            }

            it("gets no work while its zone is evacuated, and gets some again afterwards") {
                val catalogue = catalogue()
                catalogue.evacuated(setOf(ZoneName("a")))
                catalogue.usableNames() shouldContainExactly listOf("s2")
                catalogue.evacuated(emptySet())
                catalogue.usableNames() shouldContainExactly listOf("s1", "s2")
            }
        }

        describe("a process that has started and listed an older copy of the registry") {
            it("does not use a server that peers know to have left at a later revision") {
                val catalogue = catalogue()
                catalogue.leftElsewhere(mapOf(ServerName("s1") to 5L), start)
                catalogue.usableNames() shouldContainExactly listOf("s2")
            }

            it("does not use it either when the peers were heard before the list") {
                val catalogue = ServerCatalogue()
                catalogue.leftElsewhere(mapOf(ServerName("s1") to 5L), start)
                catalogue.replaced(listOf(server("s1", revision = 4), server("s2")), start)
                catalogue.usableNames() shouldContainExactly listOf("s2")
            }

            it("uses one that has registered again since") {
                val catalogue = ServerCatalogue()
                catalogue.replaced(listOf(server("s1", revision = 6)), start)
                catalogue.leftElsewhere(mapOf(ServerName("s1") to 5L), start)
                catalogue.usableNames() shouldContainExactly listOf("s1")
            }
        }

        describe("a registry that has come back from an older copy") {
            it("keeps a server that the copy lacks until living servers have registered again") {
                val catalogue = catalogue()
                catalogue.rolledBack(listOf(server("s2", zone = "b")), start, revision = 1)
                catalogue.usableNames() shouldContainExactly listOf("s1", "s2")
                catalogue.expireLapsed(start + 3.seconds)
                catalogue.usableNames() shouldContainExactly listOf("s2")
            }

            it("is believed again in what it lists after the servers have written") {
                val catalogue = ServerCatalogue()
                catalogue.replaced(listOf(server("s1", revision = 90)), start)
                catalogue.rolledBack(listOf(server("s1", revision = 10)), start, revision = 50)
                catalogue.replaced(listOf(server("s1", draining = true, revision = 55)), start)
                catalogue.usableNames().shouldBeEmpty()
            }
        }

        describe("after an outage of the registry") {
            it("a living server whose registration lapsed keeps its work until it has registered again") {
                val catalogue = catalogue()
                catalogue.registryReturned(start + 10.seconds)
                catalogue.replaced(emptyList(), start + 10.seconds)
                catalogue.usableNames() shouldContainExactly listOf("s1", "s2")
                catalogue.registered(server("s1"))
                catalogue.expireLapsed(start + 12.seconds).map { it.server.name.value } shouldContainExactly
                    listOf("s2")
                catalogue.usableNames() shouldContainExactly listOf("s1")
            }

            it("a draining server whose registration is missing is gone at once") {
                val catalogue = catalogue()
                catalogue.registered(server("s1", draining = true))
                catalogue.registryReturned(start)
                catalogue.removed(ServerName("s1"), start + 10.milliseconds)
                catalogue.servers.map { it.name.value } shouldBe listOf("s2")
            }
        }
    })
