package io.kumquattrail.forward.peer

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.suspect.ServerCrash
import io.kumquattrail.forward.http.HttpCaller
import io.kumquattrail.forward.http.LoopbackPorts
import io.kumquattrail.forward.http.ServerConnectionPool
import io.kumquattrail.forward.log.EventLog
import io.kumquattrail.forward.process.GatewayFixture
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import io.kumquattrail.forward.process.ScriptedServer
import io.kumquattrail.forward.process.response
import io.kumquattrail.forward.process.send
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val PEER = ProcessName("10.0.0.2:7400")
private val EVENT = Regex("\"event\":\"(\\w+)\"")

class PeerExchangeSpec :
    DescribeSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        afterSpec { group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS) }

        fun message(stopping: Boolean) =
            PeerMessage(
                process = PEER,
                members = listOf(PEER),
                configurationVersion = 2,
                confirmedAge = Duration.ZERO,
                inProgress = emptyMap(),
                stopping = stopping,
            )

        describe("a gateway that has not heard from its peer") {
            // A periodic message has a limited number of reports, so a gateway that starts, or was cut off, could miss
            // the part that crashes servers next.
            it("learns all suspects of its peer with the first message, and the peer learns all of its own") {
                val ports = List(2) { LoopbackPorts.take() }
                val processes = ports.map { ProcessName("127.0.0.1:$it") }
                val parts = List(200) { checkNotNull(PromptPart.of("a${it.toString(16)}")) }
                val fixtures = processes.map { GatewayFixture(servers = emptyList(), process = it, seeds = processes) }
                try {
                    // Both have met by now; the second gateway then learns of crashes while the first one is away.
                    eventually(2.seconds) {
                        fixtures
                            .first()
                            .gateway.state.hasStarted shouldBe true
                    }
                    fixtures.last().update {
                        val now = ProcessClock.monotonic()
                        (1..3).forEach { crash ->
                            parts.forEach {
                                suspectPromptParts.recordCrash(ServerCrash(ServerName("s$crash")), it, 1.seconds, now)
                            }
                        }
                    }
                    fixtures.first().close()
                    GatewayFixture(servers = emptyList(), seeds = processes).use { restarted ->
                        eventually(2.seconds) { restarted.gateway.state.hasStarted shouldBe true }
                        restarted.update {
                            parts.count { suspectPromptParts.crashCount(it) == 3 } shouldBe parts.size
                        }
                    }
                } finally {
                    fixtures.forEach { it.close() }
                }
            }
        }

        describe("a peer that answers with a failure") {
            fun peer(
                exchangeStatus: String,
                configurationStatus: String,
            ) = ScriptedServer { request, socket ->
                val isExchange = "/exchange " in request.head
                val body = if (isExchange) message(stopping = false).encode().decodeToString() else "document"
                socket.send(response(request, body, status = if (isExchange) exchangeStatus else configurationStatus))
                true
            }

            // Whatever listens at a peer's address would be counted as a gateway, and its data taken for a peer's.
            it("is not counted as alive, whatever the body says") {
                peer(exchangeStatus = "500 Error", configurationStatus = "200 OK").use { server ->
                    val seed = ProcessName("127.0.0.1:${server.port}")
                    GatewayFixture(servers = emptyList(), seeds = listOf(seed)).use { fixture ->
                        server.awaitRequests(2)
                        fixture.log() shouldNotContain "peer_alive"
                    }
                }
            }

            it("gives no configuration, whatever the body says") {
                peer(exchangeStatus = "200 OK", configurationStatus = "500 Error").use { server ->
                    val seed = ProcessName("127.0.0.1:${server.port}")
                    GatewayFixture(servers = emptyList(), confirmed = false, seeds = listOf(seed)).use { fixture ->
                        server.awaitRequests(4)
                        val log = fixture.log()
                        log shouldContain "peer_alive"
                        log shouldNotContain "configuration_unusable"
                    }
                }
            }
        }

        describe("a peer that is shutting down") {
            it("a peer that sends messages while it is stopping is logged once as stopping and not counted as alive") {
                val output = ByteArrayOutputStream()
                val log = EventLog(output)
                val exchange =
                    PeerExchange(
                        state = GatewayState(ProcessName("10.0.0.1:7400"), ZoneName("a"), log),
                        caller = HttpCaller(ServerConnectionPool(group.next())),
                        seeds = emptyList(),
                        decodeConfiguration = { null },
                    )
                exchange.onMessage(message(stopping = false))
                repeat(3) { exchange.onMessage(message(stopping = true)) }
                exchange.alivePeers(ProcessClock.monotonic()).shouldBeEmpty()
                log.close()
                EVENT.findAll(output.toString()).map { it.groupValues[1] }.toList() shouldContainExactly
                    listOf("peer_alive", "peer_stopping")
            }
        }
    })
