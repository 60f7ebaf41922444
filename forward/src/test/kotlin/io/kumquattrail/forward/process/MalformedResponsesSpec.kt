package io.kumquattrail.forward.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
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
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private fun Socket.sendRaw(text: String) {
    getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
    getOutputStream().flush()
}

/** Sends the events 1 and 2 in chunks, or those of them that the caller has not received yet. */
private fun Socket.sendStream(request: ReceivedMessage) {
    val last = request.header("Last-Event")?.toInt() ?: 0
    send(streamHead(request) + (last + 1..2).joinToString("") { chunk(event(it)) } + LAST_CHUNK)
}

/**
 * Two servers that send what [malformed] returns for the id of a request to the first attempt of each request, and run
 * the later ones.
 */
private class FaultyServers(
    malformed: (id: String) -> String,
) {
    /** Number of times that each request has arrived, by its id. */
    val arrivals = ConcurrentHashMap<String, Int>()
    val servers =
        List(2) {
            ScriptedServer { request, socket ->
                val id = checkNotNull(request.header("Request"))
                when {
                    arrivals.merge(id, 1, Int::plus) == 1 -> socket.sendRaw(malformed(id))
                    "/streaming/" in request.head -> socket.sendStream(request)
                    else -> socket.send(response(request, "sound"))
                }
                true
            }
        }
}

/** Returns the status line, a blank and the body of the response to a request for [path], a stream without its chunks. */
private fun GatewayFixture.receive(
    path: String,
    id: String,
): String =
    connect().use { caller ->
        caller.sendRequest(path, "POST", requestId = id)
        val head = readHead(caller.getInputStream()) ?: return "connection closed"
        val body = StringBuilder()
        if ("transfer-encoding: chunked" in head.lowercase()) {
            while (!body.endsWith(LAST_CHUNK)) {
                val byte = runCatching { caller.getInputStream().read() }.getOrDefault(-1)
                if (byte < 0) return "broken off after $body"
                body.append(byte.toChar())
            }
        } else {
            body.append(String(caller.getInputStream().readNBytes(bodyLength(head))))
        }
        head.lines().first() + " " + body.toString().replace(Regex("[0-9a-f]+\r\n|\r\n"), "")
    }

// Number of faults that one gateway meets, within its retry budget.
private const val FAULTS_PER_GATEWAY = 8

/** Sends each of [faults] to the first attempt of a request for [path]; returns the answers for which [isRight] is false. */
private fun wrongAnswers(
    path: String,
    faults: List<MalformedResponse>,
    meaning: Meaning,
    isRight: (answer: String, arrivals: Int) -> Boolean,
): List<String> =
    faults.chunked(FAULTS_PER_GATEWAY).flatMap { some ->
        val faulty = FaultyServers { id -> some[id.substringAfter('-').toInt()].to(id, meaning) }
        val wrong = mutableListOf<String>()
        withGateway(*faulty.servers.toTypedArray()) { fixture ->
            some.forEachIndexed { index, response ->
                val answer = fixture.receive(path, id = "r-$index")
                val arrivals = faulty.arrivals["r-$index"] ?: 0
                if (!isRight(answer, arrivals)) wrong += "${response.fault}: $arrivals sent, $answer"
            }
        }
        wrong
    }

class MalformedResponsesSpec :
    DescribeSpec({
        // A caller would get a failing server's bytes as an answer, or one that the gateway has repaired by guessing.
        describe("a server that sends a malformed response") {
            (MALFORMED_HEADS + MALFORMED_BODIES).forEach { (fault, responses) ->
                // A refusal says that the request has not run with its head alone.
                val meanings = if (fault in MALFORMED_HEADS) Meaning.entries else Meaning.entries - Meaning.REFUSAL
                meanings.forEach { meaning ->
                    val kind = meaning.name.lowercase()

                    // As a refusal, it would let a request that may run only once run at a second server.
                    it(
                        "$fault, in its $kind to a request that may run only once: it is answered with 502 and not repeated",
                    ) {
                        wrongAnswers("/unsafe/x", responses, meaning) { answer, arrivals ->
                            answer.startsWith("HTTP/1.1 502 ") && arrivals == 1
                        }.shouldBeEmpty()
                    }

                    it("$fault, in its $kind to a request that may run again: another server answers it") {
                        wrongAnswers("/safe/x", responses, meaning) { answer, _ ->
                            answer == "HTTP/1.1 200 OK sound"
                        }.shouldBeEmpty()
                    }

                    it("$fault, in its $kind to a request for a stream: another server sends the rest of it") {
                        wrongAnswers("/streaming/x", responses, meaning) { answer, _ ->
                            answer == "HTTP/1.1 200 OK " + event(1) + event(2)
                        }.shouldBeEmpty()
                    }
                }
            }

            it("spoils no stream that it should continue") {
                val faults = MALFORMED_HEADS.values.map { it.first() }
                faults.forEach { malformed ->
                    val arrivals = ConcurrentHashMap<String, Int>()
                    val servers =
                        List(3) {
                            ScriptedServer { request, socket ->
                                val id = checkNotNull(request.header("Request"))
                                when (arrivals.merge(id, 1, Int::plus)) {
                                    1 -> socket.send(streamHead(request) + chunk(event(1))).let { false }
                                    2 -> socket.sendRaw(malformed.to(id, Meaning.ANSWER)).let { true }
                                    else -> socket.sendStream(request).let { true }
                                }
                            }
                        }
                    withGateway(*servers.toTypedArray()) { fixture ->
                        // The attempts of a request are used up by then, so the stream is broken off.
                        fixture.receive("/streaming/x", "r-1") shouldBe "broken off after ${chunk(event(1))}"
                    }
                }
            }

            it("on a connection that is kept, has only the request in progress answered with 502") {
                val faults = (MALFORMED_HEADS + MALFORMED_BODIES).values.flatten()
                val server =
                    ScriptedServer { request, socket ->
                        val index = request.header("Request")!!.substringAfter('-').toInt()
                        val malformed = faults.getOrNull(index)?.to("r-$index", Meaning.ANSWER)
                        socket.sendRaw(malformed ?: response(request, "sound"))
                        true
                    }
                withGateway(server) { fixture ->
                    val wrong =
                        faults.indices.flatMap { index ->
                            val id = "r-$index"
                            val before = fixture.receive("/unsafe/x", "r-${faults.size + index}")
                            val answer = fixture.receive("/unsafe/x", id)
                            listOf(
                                "before ${faults[index].fault}: $before".takeIf { before != "HTTP/1.1 200 OK sound" },
                                "${faults[index].fault}: $answer".takeUnless { answer.startsWith("HTTP/1.1 502 ") },
                            )
                        }
                    wrong.filterNotNull().shouldBeEmpty()
                }
            }

            // A request rate limit that nobody has set would keep callers from the server.
            it("sets no request rate limit") {
                val faulty =
                    FaultyServers {
                        MALFORMED_HEADS.values
                            .first()
                            .first()
                            .to(it, Meaning.REFUSAL)
                            .replace("Signature: s1", "Rate-Limit: 0")
                    }
                withGateway(*faulty.servers.toTypedArray()) { fixture ->
                    fixture.receive("/unsafe/x", "r-1") shouldContain " 502 "
                    fixture.log() shouldNotContain "server_rate_limit"
                }
            }

            it("is named in the log with its fault") {
                val faulty = FaultyServers { "HTTP/1.1 000 None\r\nRequest: $it\r\nContent-Length: 0\r\n\r\n" }
                withGateway(*faulty.servers.toTypedArray()) { fixture ->
                    fixture.receive("/unsafe/x", "r-1") shouldContain " 502 "
                    val attempt = fixture.log().lines().first { "request_attempt" in it }
                    attempt shouldContain "\"reason\":\"status 000 is outside 100 to 599\""
                }
            }
        }

        // The configuration service, other gateways and ranks answer these calls.
        describe("a program that sends a malformed response to a short call") {
            (MALFORMED_HEADS + MALFORMED_BODIES).forEach { (fault, responses) ->
                it("$fault has the call fail") {
                    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                    var malformed = responses.first()
                    val server =
                        ScriptedServer { _, socket ->
                            socket.sendRaw(malformed.to(id = null, Meaning.ANSWER))
                            false
                        }
                    try {
                        val loop = group.next()
                        val caller = HttpCaller(ServerConnectionPool(loop))
                        val address = NetworkAddress("127.0.0.1", server.port)
                        val wrong =
                            responses.filter {
                                malformed = it
                                val result =
                                    runBlocking(loop.asCoroutineDispatcher()) {
                                        caller.call(address, HttpMessage("GET", "/report"), timeout = 2.seconds)
                                    }
                                result !is CallResult.Failed
                            }
                        wrong.map { it.fault }.shouldBeEmpty()
                    } finally {
                        server.close()
                        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
                    }
                }
            }
        }

        // A check that is too strict would turn good answers away.
        describe("a server whose responses are unusual and well formed") {
            val signed = "Request: r-1\r\nSignature: s1\r\n"
            val responses =
                mapOf(
                    "without a reason" to "HTTP/1.1 200 \r\n${signed}Content-Length: 5\r\n\r\nsound",
                    "without a reason and the blank before it" to
                        "HTTP/1.1 200\r\n${signed}Content-Length: 5\r\n\r\nsound",
                    "in HTTP/1.0" to "HTTP/1.0 200 OK\r\n${signed}Content-Length: 5\r\n\r\nsound",
                    "with names of all bytes that are allowed" to
                        "HTTP/1.1 200 OK\r\n$signed!#$%&'*+-.^_`|~09azAZ: 1\r\ncontent-length:5\r\n\r\nsound",
                    "with tabs, empty values and bytes over 0x7f" to
                        "HTTP/1.1 200 O\u00ffK\r\n${signed}X-Empty:\r\nX-Text:\t\"a\u00ff\u0080:\t1\" \t\r\n" +
                        "Content-Length: \t5 \r\n\r\nsound",
                    "with extensions of chunks and trailers" to
                        "HTTP/1.1 200 OK\r\n${signed}transfer-encoding: Chunked\r\n\r\n" +
                        "002;a=\"b;c\"\r\nso\r\n3 ; d\r\nund\r\n000;e\r\nX-Trailer: 1\r\nX-Other:\r\n\r\n",
                    "after interim heads" to
                        "HTTP/1.1 103 Early\r\nLink: </x>\r\n\r\nHTTP/1.1 102\r\n\r\n" +
                        "HTTP/1.1 200 OK\r\n${signed}Content-Length: 5\r\n\r\nsound",
                )
            responses.forEach { (description, text) ->
                it("$description: they are passed on, whole or byte by byte") {
                    listOf(text.length, 1).forEach { step ->
                        val server =
                            ScriptedServer { _, socket ->
                                socket.tcpNoDelay = true
                                text.chunked(step).forEach(socket::sendRaw)
                                true
                            }
                        withGateway(server) { it.receive("/unsafe/x", "r-1") shouldContain " sound" }
                    }
                }
            }
        }
    })
