package io.kumquattrail.forward.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val TRIALS = 150
private const val SERVER_ERRORS = 500

/** Changes, removes, duplicates or truncates bytes in or around the head of [response]. */
private fun corrupt(
    response: String,
    random: Random,
): String {
    val headEnd = response.indexOf("\r\n\r\n") + 4
    val at = random.nextInt(headEnd)
    return when (random.nextInt(5)) {
        0 -> response.replaceRange(at, at + 1, random.nextInt(1, 128).toChar().toString())
        1 -> response.removeRange(at, minOf(headEnd, at + random.nextInt(1, 30)))
        2 -> response + response.take(random.nextInt(response.length))
        3 -> response.take(at) + response
        else -> response.take(random.nextInt(response.length))
    }
}

private fun Socket.sendRequest(id: String) =
    send(
        "GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nRequest: $id\r\nRemaining: 400\r\n" +
            "Authorization: Token key\r\nContent-Length: 0\r\n\r\n",
    )

class CorruptResponsesSpec :
    DescribeSpec({
        describe("corrupt, duplicated or truncated responses of a server") {
            // Whatever arrives on a reused connection, a caller must never receive the response to another request.
            it("a corrupt response reaches the caller as its own response, as the start of it, or as a 5xx status") {
                val random = Random(51)
                val server =
                    ScriptedServer { request, socket ->
                        val sound = response(request, "answer to ${request.header("Request")}.")
                        // Half of the responses are sound, so that connections are reused.
                        socket.send(if (random.nextBoolean()) sound else corrupt(sound, random))
                        true
                    }
                var completeResponses = 0
                withGateway(server, timeout = 400.milliseconds) { fixture ->
                    repeat(TRIALS) { trial ->
                        val id = "r-${1_000 + trial}"
                        fixture.connect().use { caller ->
                            caller.sendRequest(id)
                            val received = checkNotNull(caller.readResponse())
                            val status =
                                received.head
                                    .split(' ')[1]
                                    .toInt()
                            if (received.body == "answer to $id.") completeResponses += 1
                            withClue("seed 51, $id: ${received.head}${received.body}") {
                                (status >= SERVER_ERRORS || "answer to $id.".startsWith(received.body)).shouldBeTrue()
                            }
                        }
                    }
                }
                completeResponses shouldBeGreaterThan TRIALS / 3
            }
        }
    })
