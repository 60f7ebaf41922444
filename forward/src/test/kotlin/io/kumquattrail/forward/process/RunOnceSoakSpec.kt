package io.kumquattrail.forward.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.forward.http.LoopbackPorts
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReferenceArray
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val GATEWAYS = 3
private const val SERVERS = 3
private const val CALLERS = 12

/** Fractions of the requests that servers refuse, and of the answers that they write once more before the next one. */
private const val REFUSAL_RATE = 0.4
private const val COPY_RATE = 0.5
private val RUN_LENGTH = 12.seconds

/** Time for all seeds; Kotest's default of ten minutes is too short for the long run. */
private val LONGEST_RUN = 1.hours

/** Seeds of the run; the long run by hand sets the number with `-DrunOnceSoak.seeds=50`. */
private val SEEDS = 1..Integer.getInteger("runOnceSoak.seeds", 2)

/** Statuses that state that a request has not run. */
private val REFUSALS = listOf(" 408 ", " 421 ", " 429 ", " 503 ")

/**
 * Gateways that are stopped and started, servers that refuse, repeat answers, lose them and reset their connections, and
 * callers that keep their connections, and half of the time their request id, when they come back.
 *
 * Each attempt has a body of its own, by which the runs are counted.
 */
private class RunOnceSoak(
    seed: Int,
) : AutoCloseable {
    /** Safe for use by several threads. */
    private val random = java.util.Random(seed.toLong()).asKotlinRandom()
    private val isOver = AtomicBoolean(false)
    private val attempts = AtomicInteger()
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val refused = CopyOnWriteArrayList<String>()
    private val copies = ConcurrentHashMap<Socket, String>()
    private val servers = List(SERVERS) { ScriptedServer { request, socket -> respond(request, socket) } }
    private val fixtures = AtomicReferenceArray<GatewayFixture>(GATEWAYS)
    private val stopped = CopyOnWriteArrayList<GatewayFixture>()

    init {
        repeat(GATEWAYS) { fixtures[it] = startGateway() }
    }

    val attemptCount: Int get() = attempts.get()
    val runCount: Int get() = runs.size
    val refusedCount: Int get() = refused.size

    fun ranTwice(): Set<String> = runs.filterValues { it.get() > 1 }.keys

    fun refusedAndRan(): List<String> = refused.filter { runs.containsKey(it) }

    /** Returns the log lines of all gateways on the requests of [bodies], which hold their ids. */
    fun trace(bodies: Collection<String>): List<String> {
        val ids = bodies.map { "\"id\":\"${it.substringBefore('/')}\"" }
        return (stopped + List(GATEWAYS) { fixtures[it] })
            .flatMap { it.log().lines() }
            .filter { line -> ids.any { it in line } }
    }

    fun run(length: Duration) {
        val callers = List(CALLERS) { index -> thread(isDaemon = true) { call(index, Random(random.nextInt())) } }
        val startedAt = TimeSource.Monotonic.markNow()
        while (startedAt.elapsedNow() < length) {
            Thread.sleep(random.nextLong(300, 900))
            if (random.nextDouble() < 0.5) resetConnections() else replaceGateway()
        }
        isOver.set(true)
        callers.forEach { it.join() }
    }

    override fun close() {
        repeat(GATEWAYS) { fixtures[it].close() }
        stopped.forEach { it.close() }
        servers.forEach { it.close() }
    }

    private fun startGateway() =
        GatewayFixture(
            servers,
            process = ProcessName("127.0.0.1:${LoopbackPorts.take()}"),
            seeds = List(GATEWAYS) { fixtures[it] }.mapNotNull { it?.process },
        )

    /** Stops a gateway whose callers keep their connections until it is gone, and starts another one. */
    private fun replaceGateway() {
        val index = random.nextInt(GATEWAYS)
        val previous = fixtures[index]
        fixtures[index] = startGateway()
        stopped += previous
        previous.gateway.stop("TERM") { previous.close() }
    }

    private fun resetConnections() =
        servers[random.nextInt(SERVERS)].connections.forEach { socket ->
            runCatching {
                socket.setSoLinger(true, 0)
                socket.close()
            }
        }

    private fun respond(
        request: ReceivedMessage,
        socket: Socket,
    ): Boolean {
        val chance = random.nextDouble()
        val copy = copies.remove(socket).orEmpty()
        val answer =
            if (chance < REFUSAL_RATE) {
                refusal(request)
            } else {
                runs.computeIfAbsent(request.body) { AtomicInteger() }.incrementAndGet()
                Thread.sleep(random.nextLong(5, 40))
                if (chance < REFUSAL_RATE + 0.04) return false
                if (chance < REFUSAL_RATE + 0.06) response(request, "", "503 Busy") else response(request, request.body)
            }
        try {
            socket.send(copy + answer)
        } catch (_: IOException) {
            // The connection was reset meanwhile.
            return false
        }
        if (random.nextDouble() < COPY_RATE) copies[socket] = if (random.nextBoolean()) answer else withoutId(answer)
        return true
    }

    private fun refusal(request: ReceivedMessage) = response(request, "", "503 Full", headers = "Not-Run: 1\r\n")

    private fun withoutId(answer: String) = answer.replace(Regex("Request: [^\r]*\r\n"), "")

    private fun call(
        index: Int,
        random: Random,
    ) {
        var connection: Socket? = null
        var job = 0
        while (!isOver.get()) {
            job += 1
            var requestId = "r-$index-$job"
            for (attempt in 1..3) {
                if (attempt > 1 && random.nextBoolean()) requestId = "r-$index-$job-$attempt"
                val body = "$requestId/$attempt"
                attempts.incrementAndGet()
                val status =
                    try {
                        val open = connection ?: fixtures[random.nextInt(GATEWAYS)].connect().also { connection = it }
                        open.sendRequest("/unsafe/x", "POST", body = body, requestId = requestId)
                        open.readResponse()?.head?.lines()
                    } catch (_: IOException) {
                        null
                    }
                if (status == null || status.any { it.equals("connection: close", ignoreCase = true) }) {
                    connection?.close()
                    connection = null
                }
                val isRefused = status != null && REFUSALS.any { it in status.first() }
                if (!isRefused) break
                refused += body
            }
            Thread.sleep(random.nextLong(0, 20))
        }
        connection?.close()
    }
}

class RunOnceSoakSpec :
    DescribeSpec({
        // A posting would be booked twice, or booked although its caller was told that it was not.
        describe("requests that may run only once, while gateways stop and servers repeat, lose and refuse")
            .config(timeout = LONGEST_RUN) {
                SEEDS.forEach { seed ->
                    it("run at most once, and not at all when they are refused as not run (seed $seed)") {
                        RunOnceSoak(seed).use { soak ->
                            soak.run(RUN_LENGTH)
                            println(
                                "seed $seed: ${soak.attemptCount} attempts, ${soak.runCount} runs, ${soak.refusedCount} refused",
                            )
                            soak.runCount shouldBeGreaterThan 500
                            soak.refusedCount shouldBeGreaterThan 20
                            withClue({ soak.trace(soak.ranTwice()) }) { soak.ranTwice().shouldBeEmpty() }
                            withClue({ soak.trace(soak.refusedAndRan()) }) { soak.refusedAndRan().shouldBeEmpty() }
                        }
                    }
                }
            }
    })
