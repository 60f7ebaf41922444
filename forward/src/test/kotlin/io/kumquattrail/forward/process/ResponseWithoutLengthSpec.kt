package io.kumquattrail.forward.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kumquattrail.decision.identity.ServerName
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Returns the head of a response with neither a length nor chunks, which ends with its connection. */
private fun headWithoutLength(request: ReceivedMessage) =
    "HTTP/1.1 200 OK\r\nRequest: ${request.header("Request")}\r\nSignature: s1\r\n" +
        "Content-Type: text/event-stream\r\n\r\n"

/** Starts a server that sends [body] without its length and closes the connection. */
private fun serverWithoutLength(body: String) =
    ScriptedServer { request, socket -> socket.send(headWithoutLength(request) + body).let { false } }

/** Starts a server that sends [body] without its length and crashes: its connection and its port close in order. */
private fun crashingServer(body: String): ScriptedServer {
    lateinit var server: ScriptedServer
    server =
        ScriptedServer { request, socket ->
            socket.send(headWithoutLength(request) + body)
            server.close()
            false
        }
    return server
}

/** Starts a server that sends the events of a stream up to number 3, after the last one that the caller has. */
private fun resumingServer() =
    ScriptedServer { request, socket ->
        val next = (request.header("Last-Event")?.toInt() ?: 0) + 1
        socket.send(streamHead(request) + chunk((next..3).joinToString("") { event(it) }) + LAST_CHUNK)
        true
    }

/**
 * Two servers that send [begin] without its length and exit once they have left the registry. To a request for the rest of a
 * stream, they send its events up to number 3.
 */
private class LeavingServers(
    begin: String,
) {
    private val hasLeft = CountDownLatch(1)
    val servers: List<ScriptedServer> =
        List(2) { index -> ScriptedServer { request, socket -> serve(index, request, socket, begin) } }

    /** Removes the server that has received the request from the registry of [fixture], and lets it exit. */
    fun leave(fixture: GatewayFixture) {
        while (servers.none { it.received.isNotEmpty() }) Thread.sleep(5)
        Thread.sleep(50)
        val leaving = servers.indexOfFirst { it.received.isNotEmpty() }
        fixture.update { removeServer(ServerName("s$leaving"), version = 2) }
        hasLeft.countDown()
    }

    private fun serve(
        index: Int,
        request: ReceivedMessage,
        socket: Socket,
        begin: String,
    ): Boolean {
        val lastEvent = request.header("Last-Event")?.toInt()
        if (lastEvent != null) {
            socket.send(streamHead(request) + chunk((lastEvent + 1..3).joinToString("") { event(it) }) + LAST_CHUNK)
            return true
        }
        socket.send(headWithoutLength(request) + begin)
        hasLeft.await()
        servers[index].close()
        return false
    }
}

private fun GatewayFixture.receiveStream(requestId: String = "r-1"): String =
    connect().use {
        it.sendRequest(
            "/streaming/x",
            "POST",
            headers = "Connection: close\r\n",
            remaining = 8_000,
            requestId = requestId,
        )
        it.readUntilClosed()
    }

private fun eventIds(text: String) = Regex("id: (\\d+)").findAll(text).map { it.groupValues[1] }.toList()

class ResponseWithoutLengthSpec :
    DescribeSpec({
        describe("a stream with neither a length nor chunks") {
            it("is complete when it ends between events, and its connection is not used again") {
                val server = serverWithoutLength(event(1) + event(2))
                withGateway(server) { fixture ->
                    repeat(2) { number ->
                        val text = fixture.receiveStream(requestId = "r-$number")
                        eventIds(text) shouldContainExactly listOf("1", "2")
                        text shouldEndWith LAST_CHUNK
                    }
                    // Reading the log takes long enough for the server to accept the last probe.
                    val probes = probes(fixture)
                    server.connections.size shouldBe 2 + probes
                }
            }

            it("is resumed at another server when it ends inside an event") {
                withGateway(serverWithoutLength(event(1) + "id: 2\nda"), resumingServer(), timeout = 8.seconds) {
                    repeat(4) { number ->
                        val text = it.receiveStream(requestId = "r-$number")
                        withClue(text) { eventIds(text) shouldContainExactly listOf("1", "2", "3") }
                        text shouldEndWith LAST_CHUNK
                    }
                }
            }

            it("is not complete when it ends inside an event and no other server can resume it") {
                withGateway(serverWithoutLength(event(1) + "id: 2\nda")) {
                    it.receiveStream() shouldNotContain LAST_CHUNK
                }
            }

            // A server that crashes as it begins to write closes its connection in order, after the head.
            it("is not passed on as an empty success when it ends before its first event") {
                withGateway(serverWithoutLength("")) { it.receiveStream() shouldContain "502 Bad Gateway" }
            }

            it("is resumed at another server when its own one crashes between events") {
                repeat(4) { number ->
                    withGateway(crashingServer(event(1)), resumingServer(), timeout = 8.seconds) {
                        val text = it.receiveStream(requestId = "r-$number")
                        withClue(text + it.log()) { eventIds(text) shouldContainExactly listOf("1", "2", "3") }
                    }
                }
            }
        }

        describe("a server that exits after it has left the registry") {
            // A killed process closes its connections in order, so the end of a stream between events looks complete.
            it("has its stream resumed at another server") {
                val leaving = LeavingServers(begin = event(1))
                withGateway(*leaving.servers.toTypedArray(), timeout = 8.seconds) { fixture ->
                    val text = AtomicReference("")
                    val caller = thread { text.set(fixture.receiveStream()) }
                    leaving.leave(fixture)
                    caller.join()
                    withClue(text.get() + fixture.log()) {
                        eventIds(text.get()) shouldContainExactly
                            listOf("1", "2", "3")
                    }
                    text.get() shouldEndWith LAST_CHUNK
                }
            }

            // A server may exit as soon as it has responded, and a request that has run must not run again.
            it("has its response to a request that must not run twice passed on") {
                val leaving = LeavingServers(begin = "whole")
                withGateway(*leaving.servers.toTypedArray()) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST")
                        leaving.leave(fixture)
                        it.readResponse()!!.body shouldBe "whole"
                    }
                    leaving.servers.flatMap { it.received } shouldHaveSize 1
                }
            }
        }

        describe("a response with neither a length nor chunks") {
            it("is passed on as a whole when the server goes on after it") {
                withGateway(serverWithoutLength("whole")) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST")
                        it.readResponse()!!.body shouldBe "whole"
                    }
                }
            }

            // The connection of a crashed server closes in the same way as after a complete response.
            it("does not reach the caller as complete when the server crashes in the middle, and is not run again") {
                val servers = List(2) { crashingServer("ha") }
                withGateway(*servers.toTypedArray()) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST")
                        it.readResponse()!!.head shouldContain "502"
                    }
                    servers.flatMap { it.received } shouldHaveSize 1
                }
            }
        }
    })

/** Number of connections that the gateway opened only to find out whether a server still listens. */
private fun probes(fixture: GatewayFixture) = fixture.log().lines().count { "server_checked" in it }
