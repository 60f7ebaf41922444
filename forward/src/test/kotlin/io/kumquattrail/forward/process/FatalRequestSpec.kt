package io.kumquattrail.forward.process

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.forward.http.LoopbackPorts
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Time after which the contract with the platform expects all gateways to know what one of them has seen. */
private val CONTACT_TIME = 3.seconds

/** Copies of a fatal request that may still reach servers after that time, by the same contract. */
private const val LATE_COPIES = 3

private val COPY_INTERVAL = 500.milliseconds
private val CALLER_PAUSE = 50.milliseconds
private val RUN_TIME = 9.seconds

/** A request of a caller, sent once more if it failed, with the status of the last answer. */
private data class OrdinaryRequest(
    val sentAt: TimeSource.Monotonic.ValueTimeMark,
    val body: String,
    val status: String,
)

/** Gateways that know each other, before servers that a fatal request ends, with callers that send until [close]. */
private class FatalRequestFleet(
    gateways: Int = 3,
    servers: Int = 8,
    groupSize: Int = 1,
) : AutoCloseable {
    private val processes = List(gateways) { ProcessName("127.0.0.1:${LoopbackPorts.take()}") }
    private val version = AtomicLong(1)
    private val done = AtomicBoolean(false)
    val fixtures = CopyOnWriteArrayList(processes.map(::gateway))
    private val fatalStatuses = CopyOnWriteArrayList<String>()
    val servers = RestartingServers(count = servers, groupSize = groupSize, onChange = { publish() })
    val ordinary = CopyOnWriteArrayList<OrdinaryRequest>()

    init {
        publish()
    }

    /** Starts a gateway that knows nothing but the addresses of the others. */
    fun join(): GatewayFixture =
        gateway(ProcessName("127.0.0.1:${LoopbackPorts.take()}")).also {
            fixtures += it
            publish()
        }

    /** Sends one request and returns the status line of its answer, or how its connection ended. */
    fun send(
        fixture: GatewayFixture,
        body: String,
        requestId: String,
        path: String = "/safe/x",
    ): String =
        try {
            fixture.connect().use {
                it.ask(path, "POST", body = body, requestId = requestId)
                // A stream that is broken off has a complete head.
                val received = if (path.startsWith("/streaming/")) it.untilEnd() else it.answer()?.head
                received?.lines()?.first() ?: "closed"
            }
        } catch (failure: IOException) {
            failure.message.orEmpty()
        }

    /** Sends the fatal request again and again for [time], each copy through another gateway. */
    fun sendFatal(time: Duration = RUN_TIME) {
        val began = TimeSource.Monotonic.markNow()
        var number = 0
        while (began.elapsedNow() < time) {
            val copy = number++
            thread(isDaemon = true) {
                fatalStatuses += send(fixtures[copy % fixtures.size], FATAL_BODY, "fatal-$copy")
            }
            Thread.sleep(COPY_INTERVAL.inWholeMilliseconds)
        }
    }

    /** Has a caller send [body] until the end, each time through another gateway, and once more when it fails. */
    fun call(
        caller: String,
        body: String,
    ) = thread(isDaemon = true) {
        var number = 0
        while (!done.get()) {
            val sentAt = TimeSource.Monotonic.markNow()
            val first = send(fixtures[number % fixtures.size], body, "$caller-$number")
            number += 1
            val isWhole = OK in first
            val status = if (isWhole) first else send(fixtures[number % fixtures.size], body, "$caller-$number-again")
            ordinary += OrdinaryRequest(sentAt, body, status)
            Thread.sleep(CALLER_PAUSE.inWholeMilliseconds)
        }
    }

    /** Copies of the fatal request that reached servers later than the contract allows. */
    fun lateCopies(): List<ServerEvent> {
        val third = servers.ends.getOrNull(2) ?: return emptyList()
        return servers.fatalArrivals.filter { it.at - third.at > CONTACT_TIME }
    }

    /** Ordinary requests that failed although they were sent later than that. */
    fun lateFailures(): List<OrdinaryRequest> {
        val third = servers.ends.getOrNull(2) ?: return ordinary
        return ordinary.filter { it.sentAt - third.at > CONTACT_TIME && OK !in it.status }
    }

    /** Log lines of refusals of ordinary requests on suspicion. */
    fun wronglyRefused(): List<String> =
        fixtures
            .flatMap { it.log().lines() }
            .filter { "end_servers" in it || "ends_servers" in it }
            .filterNot { "\"id\":\"fatal-" in it }

    /** What happened, in milliseconds since the first request. */
    fun summary(): String {
        val began = ordinary.minOf { it.sentAt }
        return "ends at ${servers.ends.map { (it.at - began).inWholeMilliseconds }}, " +
            "fatal arrivals at ${servers.fatalArrivals.map { (it.at - began).inWholeMilliseconds }}, " +
            "answers to the fatal caller ${fatalStatuses.groupingBy { it }.eachCount()}, " +
            "to others ${ordinary.groupingBy { it.status }.eachCount()}"
    }

    override fun close() {
        done.set(true)
        fixtures.forEach { it.close() }
        servers.close()
    }

    private fun gateway(process: ProcessName) =
        GatewayFixture(servers = emptyList(), process = process, seeds = processes)

    private fun publish() {
        val registered = servers.registered
        val members = servers.groups
        val next = version.incrementAndGet()
        fixtures.forEach { fixture ->
            fixture.update {
                serversListed(registered, next)
                groups.formed(members.mapValues { GroupName("group-${it.value}") })
            }
        }
    }

    private companion object {
        const val OK = "200 OK"
    }
}

class FatalRequestSpec :
    DescribeSpec({
        describe("a request that ends each server that begins to run it, and that its caller sends twice a second") {
            mapOf(1 to "on their own", 4 to "in two groups in lockstep").forEach { (groupSize, arrangement) ->
                // Each copy went to servers, whatever had become of those before, and the others lost the service.
                it("is kept from servers $arrangement once all gateways can know of three ends") {
                    FatalRequestFleet(groupSize = groupSize).use { fleet ->
                        repeat(12) { fleet.call("caller-$it", body = "letter-$it") }
                        Thread.sleep(500)
                        fleet.sendFatal()
                        println("fatal request, servers $arrangement: ${fleet.summary()}")
                        withClue(fleet.summary()) {
                            fleet.servers.ends.size shouldBeGreaterThan 2
                            fleet.lateCopies().size shouldBeLessThanOrEqual LATE_COPIES
                            fleet.lateFailures().shouldBeEmpty()
                            fleet.wronglyRefused().shouldBeEmpty()
                        }
                    }
                }
            }

            // Every server of a small service ends in a second, and slow requests are cut again and again.
            it("does not have requests refused that are in progress beside it and come back unchanged") {
                FatalRequestFleet(servers = 3).use { fleet ->
                    repeat(8) { fleet.call("caller-$it", body = "$SLOW_BODY-$it") }
                    Thread.sleep(500)
                    fleet.sendFatal()
                    println("fatal request, slow requests: ${fleet.summary()}")
                    withClue(fleet.summary()) {
                        fleet.lateCopies().size shouldBeLessThanOrEqual LATE_COPIES
                        fleet.wronglyRefused().shouldBeEmpty()
                        fleet.lateFailures().shouldBeEmpty()
                    }
                }
            }

            it("is kept from servers by a gateway that starts later") {
                FatalRequestFleet().use { fleet ->
                    fleet.sendFatal(time = 3.seconds)
                    val arrivals = fleet.servers.fatalArrivals.size
                    val joined = fleet.join()
                    eventually(2.seconds) { joined.gateway.state.hasStarted shouldBe true }
                    fleet.send(joined, FATAL_BODY, "fatal-joined") shouldContain "503"
                    fleet.servers.fatalArrivals.size shouldBe arrivals
                }
            }
        }

        describe("a stream that servers have written for a while when they end") {
            // Streams last for seconds, so the ends of servers for other reasons cut the same one again and again.
            it("is not suspected, however often its caller sends it again") {
                FatalRequestFleet(gateways = 1, servers = 6).use { fleet ->
                    repeat(4) { sending ->
                        fleet.send(
                            fleet.fixtures.first(),
                            "$ENDING_BODY-same",
                            "stream-$sending",
                            path = "/streaming/x",
                        )
                    }
                    fleet.servers.ends.size shouldBeGreaterThan 3
                    fleet.fixtures.first().log().also {
                        it shouldContain "request_attempt"
                        it shouldNotContain "request_suspected"
                    }
                }
            }
        }

        describe("a server that resets the connections of requests but goes on") {
            // A request that meets a reset three times by chance would be refused for an hour.
            it("is not taken for one that has ended") {
                val resetting =
                    ScriptedServer { _, socket ->
                        socket.setSoLinger(true, 0)
                        false
                    }
                serving(resetting) { fixture ->
                    repeat(5) { sending ->
                        fixture.connect().use {
                            it.ask("/unsafe/x", "POST", body = "same", requestId = "r-$sending")
                            it.answer()!!.head shouldContain "502"
                        }
                    }
                    resetting.received shouldHaveSize 5
                    fixture.log() shouldNotContain "\"listener\":\"GONE\""
                }
            }
        }
    })
