package io.kumquattrail.forward.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.forward.http.HttpCaller
import io.kumquattrail.forward.http.ServerConnectionPool
import io.kumquattrail.forward.log.EventLog
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

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
                configurationVersion = 1,
                confirmedAge = Duration.ZERO,
                inProgress = emptyMap(),
                stopping = stopping,
            )

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
