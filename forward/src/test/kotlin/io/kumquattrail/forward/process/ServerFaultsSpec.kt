package io.kumquattrail.forward.process

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.netty.util.internal.PlatformDependent
import java.lang.management.ManagementFactory
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

private const val BYTES_PER_MEBIBYTE = 1_048_576L

/** Body length in bytes that exceeds the buffers of all sockets between caller and server. */
private const val LONG_BODY_BYTES = 3_000_000
private val JUNK = ByteArray(65_536) { 'x'.code.toByte() }

/** Writes [bytes] repeatedly until the peer closes or [limit] bytes are written, and counts them in [written]. */
private fun Socket.sendWithoutEnd(
    bytes: ByteArray,
    written: AtomicLong,
    limit: Long = 256 * BYTES_PER_MEBIBYTE,
) {
    runCatching {
        while (written.get() < limit) {
            getOutputStream().write(bytes)
            written.addAndGet(bytes.size.toLong())
        }
    }
}

/** Writes events with ascending ids until the peer closes, and counts their bytes in [written]. */
private fun Socket.sendEventsWithoutEnd(written: AtomicLong) {
    var id = 0
    runCatching {
        while (written.get() < 4_096 * BYTES_PER_MEBIBYTE) {
            val events = (1..10).joinToString("") { "id: ${++id}\ndata: ${"w".repeat(600)}\n\n" }
            send(chunk(events))
            written.addAndGet(events.length.toLong())
        }
    }
}

/** Waits until the buffers of all sockets are full, that is, until [written] no longer grows. */
private fun awaitFullBuffers(written: AtomicLong) {
    var previousWritten = -1L
    var unchangedChecks = 0
    while (unchangedChecks < 4) {
        unchangedChecks = if (previousWritten > 0 && written.get() == previousWritten) unchangedChecks + 1 else 0
        previousWritten = written.get()
        Thread.sleep(250)
    }
}

/** Returns the used memory in bytes: the heap after a garbage collection, and direct buffers. */
private fun usedMemory(): Long {
    repeat(2) { System.gc() }
    val heap = ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    return heap + maxOf(PlatformDependent.usedDirectMemory(), 0)
}

/** Responds to long requests before reading their bodies, and adds the bytes received as bodies to [bodies]. */
private fun respondBeforeReading(
    socket: Socket,
    bodies: MutableList<String>,
) {
    val input = socket.getInputStream()
    while (true) {
        val length = bodyLength(readHead(input) ?: return)
        val answer = "HTTP/1.1 200 OK\r\nRequest: r-1\r\nSignature: s1\r\nContent-Length: 2\r\n\r\nok"
        if (length >= LONG_BODY_BYTES) {
            socket.send(answer)
            Thread.sleep(300)
        }
        bodies += String(input.readNBytes(length))
        if (length < LONG_BODY_BYTES) socket.send(answer)
    }
}

private fun ids(text: String): List<String> = Regex("id: (\\d+)").findAll(text).map { it.groupValues[1] }.toList()

private fun hugeResponseHead(request: ReceivedMessage) =
    "HTTP/1.1 200 OK\r\nRequest: ${request.header("Request")}\r\nSignature: s1\r\nContent-Length: 999999999999\r\n\r\n"

/**
 * Sends two requests on one connection, [pause] milliseconds apart, the second with the id [secondId], and expects that
 * each gets its own response.
 */
private fun expectOwnResponses(
    server: ScriptedServer,
    pause: Long,
    secondId: String,
) = withGateway(server) { fixture ->
    fixture.connect().use {
        it.sendRequest("/unsafe/x", "POST", body = "first")
        it.readResponse()!!.body shouldBe "first"
        Thread.sleep(pause)
        it.sendRequest("/unsafe/x", "POST", body = "second", requestId = secondId)
        val answer = it.readResponse()!!
        answer.head shouldContain "200 OK"
        answer.body shouldBe "second"
    }
}

/** Faults that have occurred in similar systems in production, and endless responses. */
class ServerFaultsSpec :
    DescribeSpec({
        describe("duplicate responses") {
            it("a late duplicate response without an id is not used as the response to the next request") {
                val server =
                    ScriptedServer { request, socket ->
                        val copy = if (request.body == "second") response(request, "first", requestId = null) else ""
                        socket.send(copy + response(request, request.body)).let { true }
                    }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST", body = "first")
                        it.readResponse()!!.body shouldBe "first"
                        it.sendRequest("/unsafe/x", "POST", body = "second", requestId = "r-2")
                        val answer = it.readResponse()!!
                        answer.head shouldContain "502"
                        answer.body shouldNotContain "first"
                    }
                }
            }

            mapOf("r-1" to "a request with the same id", "r-2" to "another request").forEach { (secondId, next) ->
                it("a duplicate response truncated in its head is not joined with the response to $next") {
                    val server =
                        ScriptedServer { request, socket ->
                            socket.send(response(request, request.body))
                            Thread.sleep(50)
                            socket.send("HTTP/1.1 201 Late\r\nRequest: r-1\r\nSignature: s1\r\nX").let { true }
                        }
                    expectOwnResponses(server, pause = 150, secondId)
                }

                it("a truncated duplicate in the same packet as the response is not joined with that to $next") {
                    val server =
                        ScriptedServer { request, socket ->
                            val partialCopy = "HTTP/1.1 201 Late\r\nRequest: r-1\r\nSignature: s1\r\nX"
                            socket.send(response(request, request.body) + partialCopy).let { true }
                        }
                    expectOwnResponses(server, pause = 0, secondId)
                }
            }
        }

        describe("endless data from a server") {
            fun expectBoundedRead(
                path: String,
                start: (ReceivedMessage) -> String,
                bytes: ByteArray = JUNK,
                expected: String = "502",
            ) {
                val written = AtomicLong()
                val server =
                    ScriptedServer { request, socket ->
                        socket.send(start(request))
                        socket.sendWithoutEnd(bytes, written)
                        false
                    }
                withGateway(server, timeout = 5.seconds) { fixture ->
                    fixture.connect().use {
                        it.sendRequest(path, "POST")
                        it.readResponse()!!.head shouldContain expected
                    }
                }
                // Bytes that the gateway has not read remain in the buffers of the two sockets.
                written.get() shouldBeLessThan 32 * BYTES_PER_MEBIBYTE
            }

            it("an endless body gives 502, which does not promise that the request was not run") {
                expectBoundedRead("/unsafe/x", ::hugeResponseHead)
            }

            it("an endless chunked body gives 502") {
                expectBoundedRead("/unsafe/x", ::streamHead, chunk("x".repeat(60_000)).toByteArray())
            }

            it("an endless body of a 500 response gives 502") {
                expectBoundedRead("/unsafe/x", { hugeResponseHead(it).replace("200 OK", "500 Error") })
            }

            it("an endless body of a refusal gives 503, as the refusal itself does") {
                expectBoundedRead(
                    "/unsafe/x",
                    { hugeResponseHead(it).replace("200 OK", "503 Full\r\nNot-Run: 1") },
                    expected = "503",
                )
            }

            it("endless blank lines before a head give 502") {
                expectBoundedRead("/unsafe/x", { "" }, "\r\n".repeat(30_000).toByteArray())
            }

            it("endless informational heads give 502") {
                expectBoundedRead("/unsafe/x", { "" }, "HTTP/1.1 103 Hints\r\n\r\n".repeat(1_000).toByteArray())
            }

            it("an endless response to another request gives 502") {
                expectBoundedRead("/unsafe/x", { hugeResponseHead(it).replace("r-1", "r-0") })
            }

            it("an endless event of a stream gives 502") {
                expectBoundedRead("/streaming/x", ::streamHead, chunk("data: x\n".repeat(7_000)).toByteArray())
            }

            it("an endless repetition of old events of a stream ends the stream") {
                val events = (1..100).joinToString("") { event(it) }
                expectBoundedRead("/streaming/x", ::streamHead, chunk(events).toByteArray(), expected = "200")
            }

            it("an endless stream is read from the server only as fast as the caller reads it") {
                val written = AtomicLong()
                val server =
                    ScriptedServer { request, socket ->
                        socket.send(streamHead(request))
                        socket.sendEventsWithoutEnd(written)
                        false
                    }
                withGateway(server, timeout = 5.seconds) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/streaming/x", "POST")
                        Thread.sleep(1_500)
                        // There are four socket buffers between the server and a caller that does not read.
                        written.get() shouldBeLessThan 24 * BYTES_PER_MEBIBYTE
                    }
                }
            }
        }

        describe("memory use under endless streams") {
            it("64 endless servers and 200 stalled callers exceed no memory limit and delay no other request") {
                val written = AtomicLong()
                val servers =
                    List(64) {
                        ScriptedServer { request, socket ->
                            if ("/safe/" in request.head) {
                                socket.send(response(request, "done")).let { true }
                            } else {
                                socket.send(streamHead(request))
                                socket.sendEventsWithoutEnd(written)
                                false
                            }
                        }
                    }
                withGateway(*servers.toTypedArray(), timeout = 30.seconds) { fixture ->
                    fixture.connect().use { it.sendRequest("/safe/x").also { _ -> it.readResponse() } }
                    val memoryBefore = usedMemory()
                    val callers = List(200) { fixture.connect(receiveBytes = 16_384) }
                    callers.forEach { it.sendRequest("/streaming/x", "POST", remaining = 30_000) }
                    awaitFullBuffers(written)
                    val times =
                        (1..20).map {
                            fixture.connect().use { caller ->
                                val startNanos = System.nanoTime()
                                caller.sendRequest("/safe/x")
                                val answer = caller.readResponse()!!
                                answer.head shouldContain "200 OK"
                                answer.body shouldBe "done"
                                (System.nanoTime() - startNanos) / 1_000_000
                            }
                        }
                    // A process on the platform has 96 MiB, of which it uses about 30 MiB without load.
                    usedMemory() - memoryBefore shouldBeLessThan 48 * BYTES_PER_MEBIBYTE
                    times.sorted()[10] shouldBeLessThan 200L
                    callers.forEach { it.close() }
                }
            }
        }

        describe("a server that responds before it has read a long body") {
            // If the next request were sent in place of the rest of the body, it would be read as part of the first.
            it("a server that responds early gets the rest of the body first, and the next request its own response") {
                val bodies = CopyOnWriteArrayList<String>()
                ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { listener ->
                    thread(isDaemon = true) {
                        while (true) {
                            val socket = runCatching { listener.accept() }.getOrNull() ?: break
                            thread(isDaemon = true) { runCatching { respondBeforeReading(socket, bodies) } }
                        }
                    }
                    GatewayFixture(servers = emptyList()).use { fixture ->
                        fixture.registerServers(listOf(listener.localPort))
                        fixture.connect().use {
                            it.sendRequest("/unsafe/x", "POST", body = "a".repeat(LONG_BODY_BYTES))
                            it.readResponse()!!.head shouldContain "200 OK"
                            it.sendRequest("/unsafe/x", "POST", body = "b".repeat(300))
                            it.readResponse()!!.head shouldContain "200 OK"
                        }
                        eventually(2.seconds) { bodies shouldHaveSize 2 }
                    }
                }
                bodies.map { it.toSet() } shouldContainExactlyInAnyOrder listOf(setOf('a'), setOf('b'))
            }
        }

        describe("pooled connections that are silently dead") {
            // Otherwise, each pooled connection makes one request after another time out.
            it("dead pooled connections fail at most one request, with 502 because it may have run") {
                val silent = CopyOnWriteArrayList<Socket>()
                val server =
                    ScriptedServer { request, socket ->
                        if (socket in silent) {
                            Thread.sleep(60_000)
                        } else {
                            if (request.body == "warm") Thread.sleep(200)
                            socket.send(response(request, request.body))
                        }
                        true
                    }
                withGateway(server) { fixture ->
                    val callers = List(4) { fixture.connect() }
                    callers.forEach { it.sendRequest("/safe/x", "POST", body = "warm") }
                    callers.forEach { it.readResponse()!!.head shouldContain "200 OK" }
                    silent += server.connections
                    silent shouldHaveSize 4
                    val statuses =
                        (1..4).map {
                            callers.first().sendRequest(
                                "/safe/x",
                                "POST",
                                body = "r$it",
                                remaining = 4_000,
                                requestId = "r-later-$it",
                            )
                            callers
                                .first()
                                .readResponse()!!
                                .head
                                .lines()
                                .first()
                        }
                    statuses.first() shouldContain "502"
                    statuses.drop(1).forEach { it shouldContain "200 OK" }
                    callers.forEach { it.close() }
                }
            }
        }

        describe("truncated responses") {
            it("a response without a length that ends in a reset does not reach the caller as complete") {
                val server =
                    ScriptedServer { request, socket ->
                        socket.send("HTTP/1.1 200 OK\r\nRequest: r-1\r\nSignature: s1\r\n\r\nhalf of ${request.body}")
                        Thread.sleep(50)
                        socket.setSoLinger(true, 0)
                        socket.close()
                        false
                    }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST", body = "it")
                        it.readResponse()!!.head shouldContain "502"
                    }
                }
            }

            it("a chunked response that ends without the last chunk does not reach the caller as complete") {
                val server =
                    ScriptedServer { request, socket -> socket.send(streamHead(request) + chunk("half")).let { false } }
                withGateway(server) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST")
                        it.readResponse()!!.head shouldContain "502"
                    }
                }
            }
        }

        describe("slow and stalled streams") {
            // With one byte per millisecond, a byte arrives just as the stall timeout expires. If it counted as
            // progress, the stall would stay hidden forever.
            listOf(100L, 1L).forEach { interval ->
                it(
                    "a stream stalled at one byte per $interval ms is resumed at another server in one response",
                ) {
                    val stalling =
                        ScriptedServer { request, socket ->
                            socket.send(streamHead(request) + chunk(event(1)))
                            runCatching {
                                repeat((6_000 / interval).toInt()) {
                                    Thread.sleep(interval)
                                    socket.send(chunk("x"))
                                }
                            }
                            false
                        }
                    val sound =
                        ScriptedServer { request, socket ->
                            val from = (request.header("Last-Event")?.toInt() ?: 0) + 1
                            val events = chunk((from..3).joinToString("") { event(it) })
                            socket.send(streamHead(request) + events + LAST_CHUNK)
                            true
                        }
                    withGateway(stalling, sound, timeout = 8.seconds) { fixture ->
                        repeat(2) {
                            fixture.connect().use {
                                val startNanos = System.nanoTime()
                                it.sendRequest(
                                    "/streaming/x",
                                    "POST",
                                    headers = "Connection: close\r\n",
                                    remaining = 8_000,
                                )
                                val text = it.readUntilClosed()
                                withClue(text + fixture.log()) { ids(text) shouldContainExactly listOf("1", "2", "3") }
                                text shouldContain LAST_CHUNK
                                (System.nanoTime() - startNanos) / 1_000_000 shouldBeLessThan 2_000L
                            }
                        }
                    }
                }
            }

            it("a slow stream that makes progress is not interrupted") {
                val slow =
                    ScriptedServer { request, socket ->
                        socket.send(streamHead(request))
                        listOf(400L, 700L, 900L, 1_300L).forEachIndexed { index, pause ->
                            socket.send(chunk(event(index + 1)))
                            Thread.sleep(pause)
                        }
                        socket.send(chunk(event(5)) + LAST_CHUNK)
                        true
                    }
                val other = ScriptedServer { _, _ -> false }
                withGateway(slow, timeout = 8.seconds) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/streaming/x", "POST", headers = "Connection: close\r\n", remaining = 8_000)
                        ids(it.readUntilClosed()) shouldContainExactly listOf("1", "2", "3", "4", "5")
                    }
                    slow.received.size shouldBe 1
                }
                other.close()
            }
        }

        describe("lost responses") {
            it(
                "an unrepeatable request is sent once and gets 502 after an unconfirmed refusal, but 503 after a 421",
            ) {
                val statuses = listOf("503 Busy", "429 Many", "408 Slow", "421 Other")
                statuses.forEach { status ->
                    val servers =
                        List(2) {
                            ScriptedServer { request, socket ->
                                // No header confirms that the request has not run. Only the status 421 implies it, so
                                // the request may then be sent to another server and gets a 503.
                                socket.send(response(request, "", status, headers = "Signature: s1\r\n")).let { true }
                            }
                        }
                    withGateway(*servers.toTypedArray()) { fixture ->
                        fixture.connect().use {
                            it.sendRequest("/unsafe/x", "POST")
                            val head = it.readResponse()!!.head
                            head shouldContain if (status.startsWith("421")) "503" else "502"
                        }
                        if (!status.startsWith("421")) servers.sumOf { it.received.size } shouldBe 1
                    }
                }
            }
        }
    })
