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

private const val MEBIBYTE = 1_048_576L

/** More than the buffers of the sockets between hold, in bytes. */
private const val LONG_BODY = 3_000_000
private val JUNK = ByteArray(65_536) { 'x'.code.toByte() }

/** Writes [bytes] again and again until the peer closes or [limit] bytes are out, and counts them in [written]. */
private fun Socket.sendWithoutEnd(
    bytes: ByteArray,
    written: AtomicLong,
    limit: Long = 256 * MEBIBYTE,
) {
    runCatching {
        while (written.get() < limit) {
            getOutputStream().write(bytes)
            written.addAndGet(bytes.size.toLong())
        }
    }
}

/** Writes events with rising ids until the peer closes, and counts their bytes in [written]. */
private fun Socket.sendEventsWithoutEnd(written: AtomicLong) {
    var id = 0
    runCatching {
        while (written.get() < 4_096 * MEBIBYTE) {
            val events = (1..10).joinToString("") { "id: ${++id}\ndata: ${"w".repeat(600)}\n\n" }
            send(chunk(events))
            written.addAndGet(events.length.toLong())
        }
    }
}

/** Waits until the buffers of all sockets on the way are full, which shows in [written]. */
private fun awaitStandstill(written: AtomicLong) {
    var before = -1L
    var quietChecks = 0
    while (quietChecks < 4) {
        quietChecks = if (before > 0 && written.get() == before) quietChecks + 1 else 0
        before = written.get()
        Thread.sleep(250)
    }
}

/** Returns the bytes in use on the heap, after a collection, and in buffers outside of it. */
private fun usedMemory(): Long {
    repeat(2) { System.gc() }
    val heap = ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    return heap + maxOf(PlatformDependent.usedDirectMemory(), 0)
}

/** Answers long requests before their bodies are read, and adds what then comes in the place of each body to [bodies]. */
private fun answerBeforeReading(
    socket: Socket,
    bodies: MutableList<String>,
) {
    val input = socket.getInputStream()
    while (true) {
        val length = bodyLength(readHead(input) ?: return)
        val answer = "HTTP/1.1 200 OK\r\nRequest: r-1\r\nSignature: s1\r\nContent-Length: 2\r\n\r\nok"
        if (length >= LONG_BODY) {
            socket.send(answer)
            Thread.sleep(300)
        }
        bodies += String(input.readNBytes(length))
        if (length < LONG_BODY) socket.send(answer)
    }
}

private fun ids(text: String): List<String> = Regex("id: (\\d+)").findAll(text).map { it.groupValues[1] }.toList()

private fun longBodied(request: ReceivedRequest) =
    "HTTP/1.1 200 OK\r\nRequest: ${request.header("Request")}\r\nSignature: s1\r\nContent-Length: 999999999999\r\n\r\n"

/** Sends two requests on one connection, with [pause] milliseconds between, and expects each one's own answer. */
private fun answersBoth(
    server: ScriptedServer,
    pause: Long,
) = serving(server) { fixture ->
    fixture.connect().use {
        it.ask("/unsafe/x", "POST", body = "first")
        it.answer()!!.body shouldBe "first"
        Thread.sleep(pause)
        it.ask("/unsafe/x", "POST", body = "second")
        val answer = it.answer()!!
        answer.head shouldContain "200 OK"
        answer.body shouldBe "second"
    }
}

/** Faults that operators of similar systems have met, and answers without end. */
class FieldFaultsSpec :
    DescribeSpec({
        describe("a second copy of an answer") {
            it("that comes late and without an id is not taken for the answer to the next request") {
                val server =
                    ScriptedServer { request, socket ->
                        val copy = if (request.body == "second") response(request, "first", requestId = null) else ""
                        socket.send(copy + response(request, request.body)).let { true }
                    }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST", body = "first")
                        it.answer()!!.body shouldBe "first"
                        it.ask("/unsafe/x", "POST", body = "second")
                        val answer = it.answer()!!
                        answer.head shouldContain "502"
                        answer.body shouldNotContain "first"
                    }
                }
            }

            it("that is cut in its head between two requests is not joined with the next answer") {
                val server =
                    ScriptedServer { request, socket ->
                        socket.send(response(request, request.body))
                        Thread.sleep(50)
                        socket.send("HTTP/1.1 201 Late\r\nRequest: r-1\r\nSignature: s1\r\nX").let { true }
                    }
                answersBoth(server, pause = 150)
            }

            it("that follows the first in one packet, cut in its head, is not joined with the next answer") {
                val server =
                    ScriptedServer { request, socket ->
                        val rest = "HTTP/1.1 201 Late\r\nRequest: r-1\r\nSignature: s1\r\nX"
                        socket.send(response(request, request.body) + rest).let { true }
                    }
                answersBoth(server, pause = 0)
            }
        }

        describe("bytes without end from a server") {
            fun endless(
                path: String,
                start: (ReceivedRequest) -> String,
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
                serving(server, timeout = 5.seconds) { fixture ->
                    fixture.connect().use {
                        it.ask(path, "POST")
                        it.answer()!!.head shouldContain expected
                    }
                }
                // What was sent and not read stays in the buffers of the two sockets.
                written.get() shouldBeLessThan 32 * MEBIBYTE
            }

            it("in a body end with a failure that promises nothing") { endless("/unsafe/x", ::longBodied) }

            it("in a chunked body end likewise") {
                endless("/unsafe/x", ::streamHead, chunk("x".repeat(60_000)).toByteArray())
            }

            it("in the body of a failure end likewise") {
                endless("/unsafe/x", { longBodied(it).replace("200 OK", "500 Error") })
            }

            it("in a refusal still count as a refusal") {
                endless("/unsafe/x", { longBodied(it).replace("200 OK", "503 Full\r\nNot-Run: 1") }, expected = "503")
            }

            it("before a head, as blank lines, end likewise") {
                endless("/unsafe/x", { "" }, "\r\n".repeat(30_000).toByteArray())
            }

            it("as informational heads end likewise") {
                endless("/unsafe/x", { "" }, "HTTP/1.1 103 Hints\r\n\r\n".repeat(1_000).toByteArray())
            }

            it("in the response to another request end likewise") {
                endless("/unsafe/x", { longBodied(it).replace("r-1", "r-0") })
            }

            it("in one event of a stream end likewise") {
                endless("/streaming/x", ::streamHead, chunk("data: x\n".repeat(7_000)).toByteArray())
            }

            it("as old events of a stream end likewise") {
                val events = (1..100).joinToString("") { event(it) }
                endless("/streaming/x", ::streamHead, chunk(events).toByteArray(), expected = "200")
            }

            it("are read only as fast as a slow caller takes them") {
                val written = AtomicLong()
                val server =
                    ScriptedServer { request, socket ->
                        socket.send(streamHead(request))
                        socket.sendEventsWithoutEnd(written)
                        false
                    }
                serving(server, timeout = 5.seconds) { fixture ->
                    fixture.connect().use {
                        it.ask("/streaming/x", "POST")
                        Thread.sleep(1_500)
                        // Buffers of four sockets lie between the server and a caller that does not read.
                        written.get() shouldBeLessThan 24 * MEBIBYTE
                    }
                }
            }
        }

        describe("64 servers that write without end and 200 callers that do not read") {
            it("leave the memory within the heap of a deployed process, and other requests on time") {
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
                serving(*servers.toTypedArray(), timeout = 30.seconds) { fixture ->
                    fixture.connect().use { it.ask("/safe/x").also { _ -> it.answer() } }
                    val before = usedMemory()
                    val callers = List(200) { fixture.connect(receiveBytes = 16_384) }
                    callers.forEach { it.ask("/streaming/x", "POST", remaining = 30_000) }
                    awaitStandstill(written)
                    val times =
                        (1..20).map {
                            fixture.connect().use { caller ->
                                val began = System.nanoTime()
                                caller.ask("/safe/x")
                                val answer = caller.answer()!!
                                answer.head shouldContain "200 OK"
                                answer.body shouldBe "done"
                                (System.nanoTime() - began) / 1_000_000
                            }
                        }
                    // A process on the platform has 96 MiB, of which it uses some 30 without load.
                    usedMemory() - before shouldBeLessThan 48 * MEBIBYTE
                    times.sorted()[10] shouldBeLessThan 200L
                    callers.forEach { it.close() }
                }
            }
        }

        describe("a server that answers before it has read a long body, and reads on later") {
            // Bytes of the next request in the place of the body's rest would be run as a part of the first.
            it("gets the rest of the body before anything else, and the next caller its own answer") {
                val bodies = CopyOnWriteArrayList<String>()
                ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { listener ->
                    thread(isDaemon = true) {
                        while (true) {
                            val socket = runCatching { listener.accept() }.getOrNull() ?: break
                            thread(isDaemon = true) { runCatching { answerBeforeReading(socket, bodies) } }
                        }
                    }
                    GatewayFixture(servers = emptyList()).use { fixture ->
                        fixture.serve(listOf(listener.localPort))
                        fixture.connect().use {
                            it.ask("/unsafe/x", "POST", body = "a".repeat(LONG_BODY))
                            it.answer()!!.head shouldContain "200 OK"
                            it.ask("/unsafe/x", "POST", body = "b".repeat(300))
                            it.answer()!!.head shouldContain "200 OK"
                        }
                        eventually(2.seconds) { bodies shouldHaveSize 2 }
                    }
                }
                bodies.map { it.toSet() } shouldContainExactlyInAnyOrder listOf(setOf('a'), setOf('b'))
            }
        }

        describe("connections that have gone silent without a reset, while new ones work") {
            // Each kept connection cost one request its time, one after the other.
            it("cost one request at most, and its caller learns that it may have run") {
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
                serving(server) { fixture ->
                    val callers = List(4) { fixture.connect() }
                    callers.forEach { it.ask("/safe/x", "POST", body = "warm") }
                    callers.forEach { it.answer()!!.head shouldContain "200 OK" }
                    silent += server.connections
                    silent shouldHaveSize 4
                    val statuses =
                        (1..4).map {
                            callers.first().ask("/safe/x", "POST", body = "r$it", remaining = 4_000)
                            callers
                                .first()
                                .answer()!!
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

        describe("a planned stop") {
            it("answers a request that was half read when it began") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.send("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nRequest: r-1\r\n")
                        Thread.sleep(100)
                        fixture.gateway.stop("TERM") {}
                        Thread.sleep(100)
                        it.send("Remaining: 1500\r\nAuthorization: Token key\r\n\r\n")
                        it.answer()!!.body shouldBe "done"
                    }
                }
            }

            it("answers requests on kept connections that were on their way") {
                val server = ScriptedServer { request, socket -> socket.send(response(request, "done")).let { true } }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/safe/x")
                        it.answer()!!.body shouldBe "done"
                        fixture.gateway.stop("TERM") {}
                        Thread.sleep(200)
                        it.ask("/safe/x")
                        val answer = it.answer()!!
                        answer.body shouldBe "done"
                        answer.head.lowercase() shouldContain "connection: close"
                    }
                }
            }
        }

        describe("an answer that breaks off") {
            it("without a length, by a reset, does not reach the caller as complete") {
                val server =
                    ScriptedServer { request, socket ->
                        socket.send("HTTP/1.1 200 OK\r\nRequest: r-1\r\nSignature: s1\r\n\r\nhalf of ${request.body}")
                        Thread.sleep(50)
                        socket.setSoLinger(true, 0)
                        socket.close()
                        false
                    }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST", body = "it")
                        it.answer()!!.head shouldContain "502"
                    }
                }
            }

            it("in chunks, by a close, does not reach the caller as complete") {
                val server =
                    ScriptedServer { request, socket -> socket.send(streamHead(request) + chunk("half")).let { false } }
                serving(server) { fixture ->
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST")
                        it.answer()!!.head shouldContain "502"
                    }
                }
            }
        }

        describe("a stream") {
            // With a byte each millisecond, some byte arrives as the patience ends; it once hid the stall for good.
            listOf(100L, 1L).forEach { interval ->
                it("that stalls with a byte each $interval ms goes on at another server in the same answer") {
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
                    serving(stalling, sound, timeout = 8.seconds) { fixture ->
                        repeat(2) {
                            fixture.connect().use {
                                val began = System.nanoTime()
                                it.ask(
                                    "/streaming/x",
                                    "POST",
                                    headers = "Connection: close\r\n",
                                    remaining = 8_000,
                                )
                                val text = it.untilEnd()
                                withClue(text + fixture.log()) { ids(text) shouldContainExactly listOf("1", "2", "3") }
                                text shouldContain LAST_CHUNK
                                (System.nanoTime() - began) / 1_000_000 shouldBeLessThan 2_000L
                            }
                        }
                    }
                }
            }

            it("that is slow but goes on is not cut") {
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
                serving(slow, timeout = 8.seconds) { fixture ->
                    fixture.connect().use {
                        it.ask("/streaming/x", "POST", headers = "Connection: close\r\n", remaining = 8_000)
                        ids(it.untilEnd()) shouldContainExactly listOf("1", "2", "3", "4", "5")
                    }
                    slow.received.size shouldBe 1
                }
                other.close()
            }
        }

        describe("a lost answer") {
            it("of a request that must not run twice is neither run again nor said not to have run") {
                val statuses = listOf("503 Busy", "429 Many", "408 Slow", "421 Other")
                statuses.forEach { status ->
                    val servers =
                        List(2) {
                            ScriptedServer { request, socket ->
                                // Without proof that it has not run; only 421 proves it by itself.
                                socket.send(response(request, "", status, headers = "Signature: s1\r\n")).let { true }
                            }
                        }
                    serving(*servers.toTypedArray()) { fixture ->
                        fixture.connect().use {
                            it.ask("/unsafe/x", "POST")
                            val head = it.answer()!!.head
                            head shouldContain if (status.startsWith("421")) "503" else "502"
                        }
                        if (!status.startsWith("421")) servers.sumOf { it.received.size } shouldBe 1
                    }
                }
            }
        }
    })
