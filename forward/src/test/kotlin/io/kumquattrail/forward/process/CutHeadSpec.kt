package io.kumquattrail.forward.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotEndWith
import io.kumquattrail.forward.http.CallResult
import io.kumquattrail.forward.http.HttpCaller
import io.kumquattrail.forward.http.HttpMessage
import io.kumquattrail.forward.http.NetworkAddress
import io.kumquattrail.forward.http.ServerConnectionPool
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private const val STATUS = "HTTP/1.1 200 OK\r\n"
private const val SIGNED = "Request: r-1\r\nSignature: s1\r\n"

/** Heads of responses, complete up to the last blank line. */
private val HEADS =
    mapOf(
        "with a length" to "$STATUS${SIGNED}Content-Length: 4\r\n\r\n",
        "in chunks" to "$STATUS${SIGNED}Transfer-Encoding: chunked\r\n\r\n",
        "with neither" to "$STATUS$SIGNED\r\n",
        "of an event stream" to "$STATUS${SIGNED}Content-Type: text/event-stream\r\n\r\n",
        "without a body" to "HTTP/1.1 204 No Content\r\n$SIGNED\r\n",
        "after an interim one" to "HTTP/1.1 103 Early Hints\r\n\r\n$STATUS${SIGNED}Content-Length: 4\r\n\r\n",
    )

/** Positions at which [head] is cut: within its first bytes, every seventh byte, and within the last blank line. */
private fun cuts(head: String): List<Int> =
    (0..9) + (10 until head.length step 7) + ((head.length - 4) until head.length)

/** Sends [text] and ends the connection, which the gateway may have closed already. */
private fun Socket.sendAndEnd(
    text: String,
    byReset: Boolean,
) {
    runCatching {
        send(text)
        if (byReset) {
            // The bytes before a reset are read only if they have arrived.
            Thread.sleep(5)
            setSoLinger(true, 0)
        }
        close()
    }
}

class CutHeadSpec :
    DescribeSpec({
        // Callers would get a success with an empty or short body that looks whole.
        describe("a server that ends its connection inside the head of a response") {
            HEADS.forEach { (description, head) ->
                listOf(false, true).forEach { byReset ->
                    val way = if (byReset) "with a reset" else "in order"
                    it("$description, $way, makes no request look answered") {
                        var cut = 0
                        val server =
                            ScriptedServer { _, socket ->
                                socket.sendAndEnd(head.take(cut), byReset)
                                false
                            }
                        withGateway(server) { fixture ->
                            val wrong =
                                cuts(head).flatMap { position ->
                                    cut = position
                                    listOf("/safe/x", "/unsafe/x", "/streaming/x").mapNotNull { path ->
                                        fixture.connect().use { caller ->
                                            caller.sendRequest(path, "POST")
                                            val received =
                                                caller
                                                    .readResponse()
                                                    ?.head
                                                    ?.lines()
                                                    ?.first()
                                            "$path cut at $position: $received".takeUnless {
                                                received != null && " 50" in received
                                            }
                                        }
                                    }
                                }
                            wrong.shouldBeEmpty()
                        }
                    }

                    it("$description, $way, neither ends nor spoils a stream that it should continue") {
                        var cut = 0
                        val servers =
                            List(2) {
                                ScriptedServer { request, socket ->
                                    val isFirstRun = request.header("Last-Event") == null
                                    if (isFirstRun) socket.send(streamHead(request) + chunk(event(1)))
                                    if (isFirstRun) Thread.sleep(20)
                                    socket.sendAndEnd(if (isFirstRun) "" else head.take(cut), byReset)
                                    false
                                }
                            }
                        withGateway(*servers.toTypedArray()) { fixture ->
                            listOf(0, 3, 20, head.length - 2, head.length - 1).forEach { position ->
                                cut = position
                                fixture.connect().use { caller ->
                                    caller.sendRequest("/streaming/x", "POST")
                                    val received = caller.readUntilClosed()
                                    withClue("cut at $position: $received") {
                                        received shouldNotEndWith LAST_CHUNK
                                        received.substringAfter("\r\n\r\n", "") shouldEndWith chunk(event(1))
                                    }
                                }
                            }
                        }
                    }
                }
            }

            it("has a request that may run again answered by another server") {
                val servers =
                    List(2) { index ->
                        ScriptedServer { request, socket ->
                            if (index == 0) {
                                socket.send("$STATUS${SIGNED}Content-Length: 4\r\n\r")
                                socket.close()
                                false
                            } else {
                                socket.send(response(request, "done"))
                                true
                            }
                        }
                    }
                withGateway(*servers.toTypedArray()) { fixture ->
                    repeat(6) {
                        fixture.connect().use { caller ->
                            caller.sendRequest("/safe/x")
                            val answer = caller.readResponse().shouldNotBeNull()
                            answer.head shouldContain " 200 "
                            answer.body shouldBe "done"
                        }
                    }
                }
            }
        }

        // A list of servers, a report of a rank or a message of a peer would look empty.
        it("a program that ends its connection inside the head has a short call fail") {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            var text = ""
            val server =
                ScriptedServer { _, socket ->
                    socket.send(text)
                    false
                }
            try {
                val loop = group.next()
                val caller = HttpCaller(ServerConnectionPool(loop))
                val address = NetworkAddress("127.0.0.1", server.port)
                HEADS.values.forEach { head ->
                    cuts(head).forEach { cut ->
                        text = head.take(cut)
                        val result =
                            runBlocking(loop.asCoroutineDispatcher()) {
                                caller.call(address, HttpMessage("GET", "/report"), timeout = 2.seconds)
                            }
                        withClue(text) { (result as? CallResult.Failed).shouldNotBeNull() }
                    }
                }
            } finally {
                server.close()
                group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
            }
        }
    })
