package io.kumquattrail.agent.backend

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.node.settings.SocketAddress
import io.kumquattrail.standin.RawHttpService
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.seconds

private const val REST = "Content-Length: 2\r\n\r\n{}"

private val REPEATABLE = BackendCall("GET", "/x", emptyMap(), ByteArray(0), repeatable = true)
private val UNREPEATABLE = BackendCall("GET", "/x", emptyMap(), ByteArray(0), repeatable = false)

/** Malformed responses with their faults, as the client describes them. */
private val MALFORMED =
    mapOf(
        "HTTP/1.1 000 None\r\n$REST" to "status 000 is outside 100 to 599",
        "HTTP/1.1 999 Other\r\n$REST" to "status 999 is outside 100 to 599",
        "HTTP/1.1 0200 OK\r\n$REST" to "status is not a number of three digits",
        "HTTP/1.1 200 O\u0001K\r\n$REST" to "byte 0x01 in the status line",
        "HTTP/1.1 200 OK\r\nX Bad: 1\r\n$REST" to "byte 0x20 in the name of a field",
        "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n$REST" to "byte 0x20 in the name of a field",
        "HTTP/1.1 200 OK\r\nX\u0000Bad: 1\r\n$REST" to "byte 0x00 in the name of a field",
        "HTTP/1.1 200 OK\r\nX-Bad: 1\r\n folded\r\n$REST" to "folded field",
    )

class BackendClientSpec :
    DescribeSpec({
        val vertx = Vertx.vertx()
        val server = RawHttpService()

        afterSpec {
            server.close()
            vertx.close().coAwait()
        }

        suspend fun <T> withClient(block: suspend (BackendClient) -> T): T {
            val client = BackendClient(vertx, SocketAddress(server.host, server.port))
            return try {
                block(client)
            } finally {
                client.close()
            }
        }

        suspend fun events(call: BackendCall): List<BackendEvent> = withClient { it.send(call).toList() }

        // Callers would receive the bytes of a failing server as an answer.
        describe("a backend server that sends a malformed response") {
            mapOf("may be repeated" to REPEATABLE, "may not be repeated" to UNREPEATABLE).forEach { (kind, call) ->
                it("has a call that $kind reported as lost, with the fault") {
                    MALFORMED.forEach { (malformed, fault) ->
                        server.response = malformed
                        withClue(malformed) {
                            val lost = events(call).single().shouldBeInstanceOf<BackendEvent.Lost>()
                            lost.cause shouldContain fault
                        }
                    }
                }
            }

            it("reports no status") {
                MALFORMED.keys.forEach { malformed ->
                    server.response = malformed
                    withClue(malformed) { withClient { it.status() } shouldBe null }
                }
            }
        }

        // The call would wait until its deadline for a response that has arrived.
        it("receives every response whole, however soon it arrives") {
            server.response = "HTTP/1.1 200 OK\r\n$REST"
            withClient { client ->
                repeat(2_000) {
                    withTimeout(5.seconds) { client.send(REPEATABLE).toList().last() shouldBe BackendEvent.End }
                }
            }
        }

        // The server would be taken for one that does not answer.
        it("reads every status, however soon it arrives") {
            server.response = "HTTP/1.1 200 OK\r\n$REST"
            withClient { client ->
                repeat(200) { client.status() shouldBe BackendStatus(incarnation = "", running = 0) }
            }
        }

        // A failing server would look idle, and the agent would take it for another incarnation.
        it("reads no status from a response that is a failure") {
            server.response = "HTTP/1.1 500 Error\r\n$REST"
            withClient { it.status() } shouldBe null
        }

        // A check that is too strict would turn good answers away.
        it("passes on a well-formed response, after an interim one and with trailers") {
            server.response =
                "HTTP/1.1 103 Early\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "2;a=b\r\n{}\r\n0\r\nX-Trailer: 1\r\n\r\n"
            val events = events(REPEATABLE)
            events.first().shouldBeInstanceOf<BackendEvent.Head>().status shouldBe 200
            events.filterIsInstance<BackendEvent.Body>().joinToString("") { String(it.bytes) } shouldBe "{}"
            events.last() shouldBe BackendEvent.End
        }
    })
