package io.kumquattrail.forward.process

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.forward.http.LoopbackPorts
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Body of a request that crashes each server that starts to execute it. */
internal const val FATAL_BODY = "fatal"

/** Prefix of the prompt parts that crash each server that starts to execute a request with one of them. */
internal const val FATAL_PART = "dead"

/** Prompt part that all callers share. */
internal const val SHARED_PART = "5a"

/** Prefix of the body of a streaming request whose server crashes, for another reason, in the middle of the stream. */
internal const val CRASHING_STREAM_BODY = "ending"

/** Prefix of the body of a request that has a long execution time. */
internal const val SLOW_BODY = "slow"

/**
 * Arrival of a request at a server, or the crash of a server.
 *
 * @property cause fatal prompt part of the request; `null` if it has none.
 */
internal data class ServerEvent(
    val at: TimeSource.Monotonic.ValueTimeMark,
    val server: String,
    val cause: String? = null,
)

/**
 * Backend servers on loopback that crash when they start to execute a request with [FATAL_BODY] or a [FATAL_PART], and
 * restart at the same address under another name.
 *
 * @property groupSize number of servers that work in lockstep: a crash of one stalls the others, which then abort their
 *   requests and refuse new ones until all members are back; 1 for servers that don't form groups.
 * @property crashDelay time from the arrival of a fatal request to the crash of its server.
 * @property onChange called with the registrations after each change.
 */
internal class RestartingServers(
    count: Int,
    private val groupSize: Int = 1,
    private val restartTime: Duration = 2.seconds,
    private val crashDelay: Duration = 20.milliseconds,
    private val onChange: (List<BackendServer>) -> Unit,
) : AutoCloseable {
    private val servers = List(count) { RestartingServer(it) }
    private val lockstepGroups = servers.chunked(groupSize)

    /** Arrivals of fatal requests. */
    val fatalArrivals = CopyOnWriteArrayList<ServerEvent>()

    /** Crashes of servers. */
    val crashes = CopyOnWriteArrayList<ServerEvent>()

    /** Current registrations of the servers. */
    val registered: List<BackendServer> get() = servers.map { it.registration() }

    /** Group number of each server; empty when the servers don't form groups. */
    val groups: Map<ServerName, Int>
        get() = if (groupSize == 1) emptyMap() else servers.associate { ServerName(it.name) to it.index / groupSize }

    init {
        servers.forEach { it.start() }
    }

    override fun close() = servers.forEach { it.close() }

    /** Crashes the servers that have received a request with [body] and not answered it. */
    fun crashServersRunning(body: String) = servers.filter { body in it.running }.forEach { it.crashNow() }

    /** Waits until no server has a request in progress. */
    fun awaitIdle() {
        while (servers.any { it.running.isNotEmpty() }) Thread.sleep(5)
    }

    private inner class RestartingServer(
        val index: Int,
    ) : AutoCloseable {
        private val port = LoopbackPorts.take()
        private val sockets = ConcurrentHashMap.newKeySet<Socket>()
        private var starts = 0

        /** Bodies of the requests in progress. */
        val running: MutableSet<String> = ConcurrentHashMap.newKeySet()
        private var listener: ServerSocket? = null

        @Volatile private var closed = false

        @Volatile var name = ""

        @Volatile var crashedAt: TimeSource.Monotonic.ValueTimeMark? = null

        fun registration() = BackendServer(ServerName(name), SERVICE, "127.0.0.1", port, ZoneName("a"), slots = 8)

        @Synchronized
        fun start() {
            if (closed) return
            val newListener = ServerSocket().apply { reuseAddress = true }
            newListener.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG)
            starts += 1
            name = "s$index-$starts"
            crashedAt = null
            listener = newListener
            thread(isDaemon = true) {
                while (true) {
                    val socket = runCatching { newListener.accept() }.getOrNull() ?: break
                    sockets += socket
                    thread(isDaemon = true) { socket.use { serve(it, newListener) } }
                }
            }
        }

        /** Fails as a killed process does: every connection is reset, and the port is closed until the restart. */
        @Synchronized
        private fun crash(
            incarnationListener: ServerSocket,
            cause: String? = null,
        ) {
            if (listener !== incarnationListener) return
            crashedAt = TimeSource.Monotonic.markNow()
            crashes += ServerEvent(TimeSource.Monotonic.markNow(), name, cause)
            listener = null
            incarnationListener.close()
            sockets.forEach { socket ->
                runCatching { socket.setSoLinger(true, 0) }
                socket.close()
            }
            sockets.clear()
            thread(isDaemon = true) {
                Thread.sleep(restartTime.inWholeMilliseconds)
                start()
                if (!closed) onChange(registered)
            }
        }

        fun crashNow() = listener?.let { crash(it) }

        @Synchronized
        override fun close() {
            closed = true
            listener?.close()
            sockets.forEach { it.close() }
        }

        private fun serve(
            socket: Socket,
            incarnationListener: ServerSocket,
        ) {
            // After a crash of the server, any use of its closed sockets throws.
            runCatching {
                do {
                    val request = readMessage(socket.getInputStream()) ?: return
                    running += request.body
                    val keepOpen =
                        try {
                            handle(request, socket, incarnationListener)
                        } finally {
                            running -= request.body
                        }
                } while (keepOpen)
            }
        }

        private fun handle(
            request: ReceivedMessage,
            socket: Socket,
            incarnationListener: ServerSocket,
        ): Boolean {
            if (request.header("Expected") != name) {
                socket.send(response(request, "", "421 Misdirected", headers = "Not-Run: yes\r\n"))
                return true
            }
            val fatalPart = fatalPart(request)
            val isFatal = request.body == FATAL_BODY || fatalPart != null
            if (isFatal) fatalArrivals += ServerEvent(TimeSource.Monotonic.markNow(), name, fatalPart)
            val failed = failedMember()
            if (failed != null) {
                awaitEndOfStall(failed)
                socket.send(
                    response(request, "", "503 Busy", headers = "Not-Run: yes\r\nFaulty: 127.0.0.1:${failed.port}\r\n"),
                )
                return true
            }
            if (isFatal) {
                if (isClosedWithin(crashDelay, socket)) return false
                crash(incarnationListener, cause = fatalPart)
                return false
            }
            if (request.body.startsWith(CRASHING_STREAM_BODY)) {
                socket.send(streamHead(request))
                repeat(EVENTS_BEFORE_CRASH) {
                    socket.send(chunk(event(it + 1)))
                    Thread.sleep(WORK_TIME.inWholeMilliseconds)
                }
                crash(incarnationListener)
                return false
            }
            Thread.sleep((if (request.body.startsWith(SLOW_BODY)) SLOW_TIME else WORK_TIME).inWholeMilliseconds)
            val failedMeanwhile = failedMember()
            if (failedMeanwhile != null) {
                awaitEndOfStall(failedMeanwhile)
                return false
            }
            socket.send(response(request, request.body))
            return true
        }

        /** Waits for [time]; returns whether the gateway closes the connection meanwhile, which cancels its request. */
        private fun isClosedWithin(
            time: Duration,
            socket: Socket,
        ): Boolean {
            socket.soTimeout = time.inWholeMilliseconds.toInt()
            val isClosed =
                try {
                    socket.getInputStream().read() < 0
                } catch (_: SocketTimeoutException) {
                    false
                }
            socket.soTimeout = 0
            return isClosed
        }

        private fun fatalPart(request: ReceivedMessage): String? =
            request
                .header("Prompt-Parts")
                ?.split(',')
                ?.map { it.substringBefore(':') }
                ?.firstOrNull { it.startsWith(FATAL_PART) }

        private fun failedMember(): RestartingServer? =
            lockstepGroups[index / groupSize].firstOrNull { it !== this && it.crashedAt != null }

        private fun awaitEndOfStall(failed: RestartingServer) {
            val remaining = STALL_TIME - (failed.crashedAt?.elapsedNow() ?: return)
            if (remaining.isPositive()) Thread.sleep(remaining.inWholeMilliseconds)
        }
    }

    private companion object {
        const val BACKLOG = 50

        val WORK_TIME = 50.milliseconds

        /** Events that a stream writes, at intervals of [WORK_TIME], before its server crashes. */
        const val EVENTS_BEFORE_CRASH = 14
        val SLOW_TIME = 700.milliseconds

        /** Time for which servers stall when a member of their group has failed. */
        val STALL_TIME = 1_500.milliseconds
    }
}
