package io.kumquattrail.forward.process

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
internal val PROPAGATION_TIME = 3.seconds

/** Maximum number of copies of a fatal request that may reach servers after that time, by the same contract. */
internal const val MAXIMUM_LATE_COPIES = 3

private val COPY_INTERVAL = 500.milliseconds
private val PART_INTERVAL = 100.milliseconds
private val CALLER_PAUSE = 50.milliseconds
internal val RUN_TIME = 9.seconds

/** A harmless request, retried once if it failed, with the status of its last response, and of its first. */
internal data class OrdinaryRequest(
    val sentAt: TimeSource.Monotonic.ValueTimeMark,
    val body: String,
    val status: String,
    val firstStatus: String = status,
)

/** Connected gateways and servers that a fatal request crashes, with callers that send requests until [close]. */
internal class FatalRequestFleet(
    gatewayCount: Int = 3,
    serverCount: Int = 8,
    groupSize: Int = 1,
    crashDelay: Duration = 20.milliseconds,
) : AutoCloseable {
    private val processes = List(gatewayCount) { ProcessName("127.0.0.1:${LoopbackPorts.take()}") }
    private val version = AtomicLong(1)
    private val isClosed = AtomicBoolean(false)
    val fixtures = CopyOnWriteArrayList(processes.map(::startGateway))
    private val fatalStatuses = CopyOnWriteArrayList<String>()
    val servers =
        RestartingServers(
            count = serverCount,
            groupSize = groupSize,
            crashDelay = crashDelay,
            onChange = { publish() },
        )
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
        promptParts: String? = null,
    ): String =
        try {
            fixture.connect().use {
                val headers = promptParts?.let { parts -> "Prompt-Parts: $parts\r\n" }.orEmpty()
                it.sendRequest(path, "POST", body = body, headers = headers, requestId = requestId)
                // An interrupted stream still has a complete head.
                val received = if (path.startsWith("/streaming/")) it.readUntilClosed() else it.readResponse()?.head
                received?.lines()?.first() ?: "closed"
            }
        } catch (failure: IOException) {
            failure.message.orEmpty()
        }

    /** Sends the fatal request repeatedly for [time], each copy through the next gateway. */
    fun sendFatal(time: Duration = RUN_TIME) =
        sendRepeatedly(time, COPY_INTERVAL) { copy ->
            send(fixtures[copy % fixtures.size], FATAL_BODY, "fatal-$copy")
        }

    /**
     * Sends requests for [time], each through the next gateway. No two are alike: each has one of [fatalParts], and
     * otherwise only the part that all callers share in common with other requests.
     */
    fun sendWithFatalParts(
        vararg fatalParts: String,
        time: Duration = RUN_TIME,
    ) = sendRepeatedly(time, PART_INTERVAL) { number ->
        sendWithPart(fixtures[number % fixtures.size], fatalParts[number % fatalParts.size], "fatal-$number")
    }

    /** Sends a request whose prompt has [part] between the shared part and the request's own one. */
    fun sendWithPart(
        fixture: GatewayFixture,
        part: String,
        requestId: String,
        body: String = requestId,
    ): String = send(fixture, body, requestId, promptParts = "$SHARED_PART:40,$part:400,$requestId:250")

    private fun sendRepeatedly(
        time: Duration,
        interval: Duration,
        send: (Int) -> String,
    ) {
        val startedAt = TimeSource.Monotonic.markNow()
        var number = 0
        while (startedAt.elapsedNow() < time) {
            val copy = number++
            thread(isDaemon = true) { fatalStatuses += send(copy) }
            Thread.sleep(interval.inWholeMilliseconds)
        }
    }

    /** Starts a caller that sends [body] until [close], each time through the next gateway, with one retry. */
    fun startCaller(
        caller: String,
        body: String,
        promptParts: String? = null,
    ) = thread(isDaemon = true) {
        var number = 0
        while (!isClosed.get()) {
            val sentAt = TimeSource.Monotonic.markNow()
            val firstStatus = send(fixtures[number % fixtures.size], body, "$caller-$number", promptParts = promptParts)
            number += 1
            val isSuccessful = OK in firstStatus
            val status =
                if (isSuccessful) {
                    firstStatus
                } else {
                    send(
                        fixtures[number % fixtures.size],
                        body,
                        "$caller-$number-again",
                        promptParts = promptParts,
                    )
                }
            ordinaryRequests += OrdinaryRequest(sentAt, body, status, firstStatus)
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

    /**
     * Ordinary requests whose first attempt failed although they were sent more than [PROPAGATION_TIME] after the last
     * crash.
     */
    fun failedFirstAttempts(): List<OrdinaryRequest> {
        val lastCrash = servers.crashes.lastOrNull() ?: return ordinaryRequests
        return ordinaryRequests.filter { it.sentAt - lastCrash.at > PROPAGATION_TIME && OK !in it.firstStatus }
    }

    /** Log lines of ordinary requests that were refused as suspected fatal requests. */
    fun wronglyRefused(): List<String> =
        fixtures
            .flatMap { it.log().lines() }
            .filter { line -> SUSPECT_REFUSALS.any { it in line } }
            .filterNot { "\"id\":\"fatal-" in it }

    /** Returns a report of the run; times are in milliseconds since the first ordinary request. */
    fun summary(): String {
        val startedAt = ordinaryRequests.minOf { it.sentAt }
        return "crashes at ${servers.crashes.map { (it.at - startedAt).inWholeMilliseconds }}, " +
            "fatal arrivals at ${servers.fatalArrivals.map { (it.at - startedAt).inWholeMilliseconds }}, " +
            "responses to the fatal caller ${fatalStatuses.groupingBy { it }.eachCount()}, " +
            "to others ${ordinaryRequests.groupingBy { it.status }.eachCount()}"
    }

    /** Returns the log lines of all gateways, by time, that show why requests with fatal parts were sent. */
    fun trace(): String =
        fixtures
            .flatMapIndexed { index, fixture -> fixture.log().lines().map { "gateway-$index $it" } }
            .filter { line -> TRACED_EVENTS.any { it in line } }
            .sortedBy { it.substringAfter("time_ms\":") }
            .joinToString("\n", prefix = "\n")

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

        val TRACED_EVENTS = listOf("prompt_part_", "server_checked", "request_withdrawn", "\"id\":\"fatal-")

        /** Reasons for which requests are refused that are suspected of crashing servers. */
        val SUSPECT_REFUSALS = listOf("end_servers", "ends_servers", "part_crashes_servers", "part_may_crash_servers")
    }
}
