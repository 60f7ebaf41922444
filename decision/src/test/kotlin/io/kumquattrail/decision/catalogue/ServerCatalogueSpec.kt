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
) = BackendServer(
    name = ServerName(name),
    service = SERVICE,
    host = "127.0.0.1",
    port = 80,
    zone = ZoneName(zone),
    slots = 8,
    draining = draining,
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
