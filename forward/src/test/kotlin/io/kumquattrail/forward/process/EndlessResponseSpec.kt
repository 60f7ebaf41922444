package io.kumquattrail.forward.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldContain
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
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

private const val HEAD = "HTTP/1.1 200 OK\r\nSignature: s1\r\n"

/**
 * Bytes that a process may read of a response before it gives up, with those in the buffers of two sockets. Chunks of one
 * byte take six bytes for each byte of the longest body that is collected, which has 4 MiB.
 */
private const val MOST_BYTES = 32L * 1_048_576

/** Responses that never end, as what comes first and what is then repeated. */
private val ENDLESS =
    mapOf(
        "a status line" to ("HTTP/1.1 200 " to "x".repeat(50_000)),
        "one field" to (HEAD + "Padding: " to "x".repeat(50_000)),
        "fields" to (HEAD to "Padding: x\r\n".repeat(4_000)),
        "folded lines of a field" to (HEAD + "Padding: x\r\n" to " x\r\n".repeat(10_000)),
        "a chunk size" to (HEAD + "Transfer-Encoding: chunked\r\n\r\n" to "0".repeat(50_000)),
        "a chunk extension" to (HEAD + "Transfer-Encoding: chunked\r\n\r\n1;" to "x".repeat(50_000)),
        "trailers" to (HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n" to "Padding: x\r\n".repeat(4_000)),
        "chunks of one byte" to (HEAD + "Transfer-Encoding: chunked\r\n\r\n" to "1\r\nx\r\n".repeat(8_000)),
        "a body without a length" to (HEAD + "\r\n" to "x".repeat(50_000)),
        "no HTTP" to ("" to "x".repeat(50_000)),
    )

private fun Socket.sendWithoutEnd(
    text: String,
    written: AtomicLong,
) {
    val bytes = text.toByteArray()
    runCatching {
        while (written.get() < 2 * MOST_BYTES) {
            getOutputStream().write(bytes)
            written.addAndGet(bytes.size.toLong())
        }
    }
}

private fun endlessServer(
    endless: Pair<String, String>,
    written: AtomicLong,
) = ScriptedServer { request, socket ->
    val id = request.header("Request")
    socket.send(endless.first.replace(HEAD, HEAD + (id?.let { "Request: $it\r\n" } ?: "")))
    socket.sendWithoutEnd(endless.second, written)
    false
}

class EndlessResponseSpec :
    DescribeSpec({
        // A process that keeps all bytes runs out of memory, and the requests of all its callers end with it.
        describe("a server that sends without end") {
            ENDLESS.forEach { (description, endless) ->
                listOf("/safe/x", "/unsafe/x", "/streaming/x").forEach { path ->
                    it("$description to a request for $path is given up with a failure") {
                        val written = AtomicLong()
                        withGateway(endlessServer(endless, written), timeout = 5.seconds) { fixture ->
                            fixture.connect().use {
                                it.sendRequest(path, "POST")
                                it.readResponse().shouldNotBeNull().head shouldContain " 50"
                            }
                        }
                        written.get() shouldBeLessThan MOST_BYTES
                    }
                }
            }
        }

        // The same in answers of the configuration service, of other gateways and of ranks.
        describe("a program that answers a short call without end") {
            ENDLESS.forEach { (description, endless) ->
                it("$description has the call fail") {
                    val written = AtomicLong()
                    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                    try {
                        endlessServer(endless, written).use { server ->
                            val loop = group.next()
                            val caller = HttpCaller(ServerConnectionPool(loop))
                            val result =
                                runBlocking(loop.asCoroutineDispatcher()) {
                                    val address = NetworkAddress("127.0.0.1", server.port)
                                    caller.call(address, HttpMessage("GET", "/report"), timeout = 2.seconds)
                                }
                            (result as? CallResult.Failed).shouldNotBeNull()
                        }
                    } finally {
                        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
                    }
                    written.get() shouldBeLessThan MOST_BYTES
                }
            }
        }
    })
