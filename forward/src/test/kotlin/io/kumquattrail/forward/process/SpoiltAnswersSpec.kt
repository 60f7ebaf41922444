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

/** Spoils one place of an answer's head or of the bytes around it, or writes parts of it twice. */
private fun spoilt(
    answer: String,
    random: Random,
): String {
    val headEnd = answer.indexOf("\r\n\r\n") + 4
    val at = random.nextInt(headEnd)
    return when (random.nextInt(5)) {
        0 -> answer.replaceRange(at, at + 1, random.nextInt(1, 128).toChar().toString())
        1 -> answer.removeRange(at, minOf(headEnd, at + random.nextInt(1, 30)))
        2 -> answer + answer.take(random.nextInt(answer.length))
        3 -> answer.take(at) + answer
        else -> answer.take(random.nextInt(answer.length))
    }
}

private fun Socket.ask(id: String) =
    send(
        "GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nRequest: $id\r\nRemaining: 400\r\n" +
            "Authorization: Token key\r\nContent-Length: 0\r\n\r\n",
    )

class SpoiltAnswersSpec :
    DescribeSpec({
        describe("answers of a server in trouble, spoilt in their heads, doubled or cut") {
            // Whatever comes on a kept connection, a caller must not get the answer of another request.
            it("reach a caller as its own answer or the beginning of it, or as a failure") {
                val random = Random(51)
                val server =
                    ScriptedServer { request, socket ->
                        val answer = response(request, "answer to ${request.header("Request")}.")
                        // Half of the answers are sound, so that kept connections are used again.
                        socket.send(if (random.nextBoolean()) answer else spoilt(answer, random))
                        true
                    }
                var whole = 0
                serving(server, timeout = 400.milliseconds) { fixture ->
                    repeat(TRIALS) { trial ->
                        val id = "r-${1_000 + trial}"
                        fixture.connect().use { caller ->
                            caller.ask(id)
                            val answer = checkNotNull(caller.answer())
                            val status =
                                answer.head
                                    .split(' ')[1]
                                    .toInt()
                            if (answer.body == "answer to $id.") whole += 1
                            withClue("seed 51, $id: ${answer.head}${answer.body}") {
                                (status >= SERVER_ERRORS || "answer to $id.".startsWith(answer.body)).shouldBeTrue()
                            }
                        }
                    }
                }
                whole shouldBeGreaterThan TRIALS / 3
            }
        }
    })
