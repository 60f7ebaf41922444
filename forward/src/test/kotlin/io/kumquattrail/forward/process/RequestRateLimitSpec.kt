package io.kumquattrail.forward.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.forward.http.LoopbackPorts
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Requests per second that the limited server names, and the most that it may then get in [WINDOW]. */
private const val LIMIT = 2
private val WINDOW = 4.seconds
private const val MOST_IN_WINDOW = 17

/** Time after an answer with the limit, from which the requests of all gateways count. */
private val TOLD_AFTER = 500.milliseconds

/** Requests per second of all callers together. */
private const val DEMAND_PER_SECOND = 40

private fun limitedServer(
    limit: () -> String?,
    onRequest: () -> Unit = {},
) = ScriptedServer { request, socket ->
    onRequest()
    val headers = "Signature: s1\r\n" + (limit()?.let { "Rate-Limit: $it\r\n" } ?: "")
    socket.send(response(request, "done", headers = headers))
    true
}

private fun GatewayFixture.get(requestId: String): String =
    connect().use {
        it.sendRequest("/safe/x", requestId = requestId)
        it.readResponse()?.head ?: "closed"
    }

class RequestRateLimitSpec :
    DescribeSpec({
        // Each gateway would send it the usual share, or all that it takes.
        it("a server that names a limit gets no more than that from all gateways together") {
            val arrivals = CopyOnWriteArrayList<TimeSource.Monotonic.ValueTimeMark>()
            val servers =
                listOf(
                    limitedServer(limit = { "$LIMIT.0" }, onRequest = { arrivals += TimeSource.Monotonic.markNow() }),
                    echoServer(),
                )
            val processes = List(3) { ProcessName("127.0.0.1:${LoopbackPorts.take()}") }
            val gateways = processes.map { GatewayFixture(servers, process = it, seeds = processes - it) }
            try {
                val startedAt = TimeSource.Monotonic.markNow()
                var number = 0
                while (startedAt.elapsedNow() < 9.seconds) {
                    val request = number++
                    thread(isDaemon = true) { runCatching { gateways[request % gateways.size].get("r-$request") } }
                    Thread.sleep(1_000L / DEMAND_PER_SECOND)
                }
                val counted = arrivals.filter { it - arrivals.first() > TOLD_AFTER }
                val most = counted.maxOfOrNull { start -> counted.count { it >= start && it - start <= WINDOW } } ?: 0
                withClue(gateways.joinToString("\n") { it.log() }.lines().filter { "rate_limit" in it }) {
                    most shouldBeLessThanOrEqual MOST_IN_WINDOW
                    counted.size shouldBeGreaterThan 0
                }
            } finally {
                gateways.forEach { it.close() }
                servers.forEach { it.close() }
            }
        }

        // Callers would be held until their deadline although no server may have their requests.
        it("refuses at once, with the time to return, when all servers are limited, and serves when the limit ends") {
            var limit: String? = "0"
            withGateway(limitedServer(limit = { limit }), timeout = 5.seconds) { fixture ->
                fixture.get("r-1") shouldContain " 200 "
                val sentAt = TimeSource.Monotonic.markNow()
                val refused = fixture.get("r-2")
                refused shouldContain " 503 "
                refused shouldContain "Retry-After: "
                sentAt.elapsedNow() shouldBeLessThan 500.milliseconds
                fixture.log() shouldContain "\"reason\":\"servers_limited\""
                limit = null
                // The next request is sent after some seconds and shows that the limit has ended.
                val waitsUntil = TimeSource.Monotonic.markNow() + 12.seconds
                var number = 3
                while (" 200 " !in fixture.get("r-${number++}") && waitsUntil.hasNotPassedNow()) Thread.sleep(100)
                repeat(5) { fixture.get("r-${number++}") shouldContain " 200 " }
            }
        }

        // The server at an address that is used again is another one than the gateway means.
        it("does not take the limit in the refusal of another server for that of the server meant") {
            val server =
                ScriptedServer { request, socket ->
                    socket.send(response(request, "", "421 Misdirected", headers = "Not-Run: 1\r\nRate-Limit: 0\r\n"))
                    true
                }
            withGateway(server) { fixture ->
                fixture.get("r-1")
                fixture.log() shouldNotContain "server_rate_limit"
            }
        }

        listOf("-1", "abc", "NaN", "", "9".repeat(400)).forEach { value ->
            it("serves on when a server names '${value.take(10)}' as its limit") {
                withGateway(limitedServer(limit = { value })) { fixture ->
                    repeat(20) { fixture.get("r-$it").lines().first() shouldBe "HTTP/1.1 200 OK" }
                }
            }
        }
    })
