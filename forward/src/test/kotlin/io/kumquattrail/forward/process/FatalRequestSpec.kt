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

/** Time within which, by the contract with the platform, a crash seen by one gateway reaches all others. */
private val PROPAGATION_TIME = 3.seconds

/** Maximum number of copies of a fatal request that may reach servers after that time, by the same contract. */
private const val MAXIMUM_LATE_COPIES = 3

private val COPY_INTERVAL = 500.milliseconds
private val CALLER_PAUSE = 50.milliseconds
private val RUN_TIME = 9.seconds

/** A harmless request, retried once if it failed, with the status of its last response. */
private data class OrdinaryRequest(
    val sentAt: TimeSource.Monotonic.ValueTimeMark,
    val body: String,
    val status: String,
)

/** Connected gateways and servers that a fatal request crashes, with callers that send requests until [close]. */
private class FatalRequestFleet(
    gatewayCount: Int = 3,
    serverCount: Int = 8,
    groupSize: Int = 1,
) : AutoCloseable {
    private val processes = List(gatewayCount) { ProcessName("127.0.0.1:${LoopbackPorts.take()}") }
    private val version = AtomicLong(1)
    private val isClosed = AtomicBoolean(false)
    val fixtures = CopyOnWriteArrayList(processes.map(::startGateway))
    private val fatalStatuses = CopyOnWriteArrayList<String>()
    val servers = RestartingServers(count = serverCount, groupSize = groupSize, onChange = { publish() })
    val ordinaryRequests = CopyOnWriteArrayList<OrdinaryRequest>()

    init {
        publish()
    }

    /** Starts another gateway, which has the addresses of the others but none of their state. */
    fun addGateway(): GatewayFixture =
        startGateway(ProcessName("127.0.0.1:${LoopbackPorts.take()}")).also {
            fixtures += it
            publish()
        }

    /** Sends one request and returns the status line of its response, or how its connection was closed. */
    fun send(
        fixture: GatewayFixture,
        body: String,
        requestId: String,
        path: String = "/safe/x",
    ): String =
        try {
            fixture.connect().use {
                it.sendRequest(path, "POST", body = body, requestId = requestId)
                // An interrupted stream still has a complete head.
                val received = if (path.startsWith("/streaming/")) it.readUntilClosed() else it.readResponse()?.head
                received?.lines()?.first() ?: "closed"
            }
        } catch (failure: IOException) {
            failure.message.orEmpty()
        }

    /** Sends the fatal request repeatedly for [time], each copy through the next gateway. */
    fun sendFatal(time: Duration = RUN_TIME) {
        val startedAt = TimeSource.Monotonic.markNow()
        var number = 0
        while (startedAt.elapsedNow() < time) {
            val copy = number++
            thread(isDaemon = true) {
                fatalStatuses += send(fixtures[copy % fixtures.size], FATAL_BODY, "fatal-$copy")
            }
            Thread.sleep(COPY_INTERVAL.inWholeMilliseconds)
        }
    }

    /** Starts a caller that sends [body] until [close], each time through the next gateway, with one retry. */
    fun startCaller(
        caller: String,
        body: String,
    ) = thread(isDaemon = true) {
        var number = 0
        while (!isClosed.get()) {
            val sentAt = TimeSource.Monotonic.markNow()
            val firstStatus = send(fixtures[number % fixtures.size], body, "$caller-$number")
            number += 1
            val isSuccessful = OK in firstStatus
            val status =
                if (isSuccessful) firstStatus else send(fixtures[number % fixtures.size], body, "$caller-$number-again")
            ordinaryRequests += OrdinaryRequest(sentAt, body, status)
            Thread.sleep(CALLER_PAUSE.inWholeMilliseconds)
        }
    }

    /** Copies of the fatal request that reached servers more than [PROPAGATION_TIME] after the third crash. */
    fun lateCopies(): List<ServerEvent> {
        val thirdCrash = servers.crashes.getOrNull(2) ?: return emptyList()
        return servers.fatalArrivals.filter { it.at - thirdCrash.at > PROPAGATION_TIME }
    }

    /** Ordinary requests that failed although they were sent more than [PROPAGATION_TIME] after the third crash. */
    fun lateFailures(): List<OrdinaryRequest> {
        val thirdCrash = servers.crashes.getOrNull(2) ?: return ordinaryRequests
        return ordinaryRequests.filter { it.sentAt - thirdCrash.at > PROPAGATION_TIME && OK !in it.status }
    }

    /** Log lines of ordinary requests that were refused as suspected fatal requests. */
    fun wronglyRefused(): List<String> =
        fixtures
            .flatMap { it.log().lines() }
            .filter { "end_servers" in it || "ends_servers" in it }
            .filterNot { "\"id\":\"fatal-" in it }

    /** Returns a report of the run; times are in milliseconds since the first ordinary request. */
    fun summary(): String {
        val startedAt = ordinaryRequests.minOf { it.sentAt }
        return "crashes at ${servers.crashes.map { (it.at - startedAt).inWholeMilliseconds }}, " +
            "fatal arrivals at ${servers.fatalArrivals.map { (it.at - startedAt).inWholeMilliseconds }}, " +
            "responses to the fatal caller ${fatalStatuses.groupingBy { it }.eachCount()}, " +
            "to others ${ordinaryRequests.groupingBy { it.status }.eachCount()}"
    }

    override fun close() {
        isClosed.set(true)
        fixtures.forEach { it.close() }
        servers.close()
    }

    private fun startGateway(process: ProcessName) =
        GatewayFixture(servers = emptyList(), process = process, seeds = processes)

    private fun publish() {
        val registered = servers.registered
        val members = servers.groups
        val next = version.incrementAndGet()
        fixtures.forEach { fixture ->
            fixture.update {
                replaceServers(registered, next)
                groups.updateMembers(members.mapValues { GroupName("group-${it.value}") })
            }
        }
    }

    private companion object {
        const val OK = "200 OK"
    }
}

class FatalRequestSpec :
    DescribeSpec({
        describe("a request that crashes each server that starts to execute it, sent twice a second") {
            mapOf(1 to "without groups", 4 to "in two lockstep groups").forEach { (groupSize, arrangement) ->
                // Otherwise, every copy is forwarded although earlier copies have crashed servers, and other callers
                // lose the service.
                it(
                    "a fatal request stops reaching servers $arrangement once three crashes are reported everywhere",
                ) {
                    FatalRequestFleet(groupSize = groupSize).use { fleet ->
                        repeat(12) { fleet.startCaller("caller-$it", body = "letter-$it") }
                        Thread.sleep(500)
                        fleet.sendFatal()
                        println("fatal request, servers $arrangement: ${fleet.summary()}")
                        withClue(fleet.summary()) {
                            fleet.servers.crashes.size shouldBeGreaterThan 2
                            fleet.lateCopies().size shouldBeLessThanOrEqual MAXIMUM_LATE_COPIES
                            fleet.lateFailures().shouldBeEmpty()
                            fleet.wronglyRefused().shouldBeEmpty()
                        }
                    }
                }
            }

            // All servers of a small service crash within a second, so slow requests are interrupted repeatedly.
            it("slow requests in progress beside a fatal request are not refused when they are sent again") {
                FatalRequestFleet(serverCount = 3).use { fleet ->
                    repeat(8) { fleet.startCaller("caller-$it", body = "$SLOW_BODY-$it") }
                    Thread.sleep(500)
                    fleet.sendFatal()
                    println("fatal request, slow requests: ${fleet.summary()}")
                    withClue(fleet.summary()) {
                        fleet.lateCopies().size shouldBeLessThanOrEqual MAXIMUM_LATE_COPIES
                        fleet.wronglyRefused().shouldBeEmpty()
                        fleet.lateFailures().shouldBeEmpty()
                    }
                }
            }

            it("a gateway that starts later refuses a fatal request that the other gateways have recorded") {
                FatalRequestFleet().use { fleet ->
                    fleet.sendFatal(time = 3.seconds)
                    val arrivals = fleet.servers.fatalArrivals.size
                    val added = fleet.addGateway()
                    eventually(2.seconds) { added.gateway.state.hasStarted shouldBe true }
                    fleet.send(added, FATAL_BODY, "fatal-joined") shouldContain "503"
                    fleet.servers.fatalArrivals.size shouldBe arrivals
                }
            }
        }

        describe("a stream that is interrupted by crashes of its servers") {
            // Streams last for seconds, so crashes for other reasons can interrupt the same stream several times.
            it("a stream that ran for a while before each crash is not suspected, however often it is sent again") {
                FatalRequestFleet(gatewayCount = 1, serverCount = 6).use { fleet ->
                    repeat(4) { sending ->
                        fleet.send(
                            fleet.fixtures.first(),
                            "$CRASHING_STREAM_BODY-same",
                            "stream-$sending",
                            path = "/streaming/x",
                        )
                    }
                    fleet.servers.crashes.size shouldBeGreaterThan 3
                    fleet.fixtures.first().log().also {
                        it shouldContain "request_attempt"
                        it shouldNotContain "request_suspected"
                    }
                }
            }
        }

        describe("a server that resets connections but keeps running") {
            // Otherwise, a request that met three resets by chance would be refused for an hour.
            it("a server that resets connections but keeps running is not treated as crashed") {
                val resetting =
                    ScriptedServer { _, socket ->
                        socket.setSoLinger(true, 0)
                        false
                    }
                withGateway(resetting) { fixture ->
                    repeat(5) { sending ->
                        fixture.connect().use {
                            it.sendRequest("/unsafe/x", "POST", body = "same", requestId = "r-$sending")
                            it.readResponse()!!.head shouldContain "502"
                        }
                    }
                    resetting.received shouldHaveSize 5
                    fixture.log() shouldNotContain "\"listener\":\"GONE\""
                }
            }
        }
    })
