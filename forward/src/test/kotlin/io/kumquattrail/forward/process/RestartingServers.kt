package io.kumquattrail.forward.process

import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.forward.http.LoopbackPorts
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Body of a request that crashes each server that starts to execute it. */
internal const val FATAL_BODY = "fatal"

/** Prefix of the body of a streaming request whose server crashes, for another reason, in the middle of the stream. */
internal const val CRASHING_STREAM_BODY = "ending"

/** Prefix of the body of a request that has a long execution time. */
internal const val SLOW_BODY = "slow"

/** Arrival of a request at a server, or the crash of a server. */
internal data class ServerEvent(
    val at: TimeSource.Monotonic.ValueTimeMark,
    val server: String,
)

/**
 * Backend servers on loopback that crash when they start to execute a request with [FATAL_BODY], and restart at the
 * same address under another name.
 *
 * @property groupSize number of servers that work in lockstep: a crash of one stalls the others, which then abort their
 *   requests and refuse new ones until all members are back; 1 for servers that don't form groups.
 * @property onChange called with the registrations after each change.
 */
internal class RestartingServers(
    count: Int,
    private val groupSize: Int = 1,
    private val restartTime: Duration = 2.seconds,
    private val onChange: (List<BackendServer>) -> Unit,
) : AutoCloseable {
    private val servers = List(count) { RestartingServer(it) }
    private val lockstepGroups = servers.chunked(groupSize)

    /** Arrivals of the fatal request. */
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

    private inner class RestartingServer(
        val index: Int,
    ) : AutoCloseable {
        private val port = LoopbackPorts.take()
        private val sockets = ConcurrentHashMap.newKeySet<Socket>()
        private var starts = 0
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
        private fun crash(incarnationListener: ServerSocket) {
            if (listener !== incarnationListener) return
            crashedAt = TimeSource.Monotonic.markNow()
            crashes += ServerEvent(TimeSource.Monotonic.markNow(), name)
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
                } while (handle(request, socket, incarnationListener))
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
            if (request.body == FATAL_BODY) fatalArrivals += ServerEvent(TimeSource.Monotonic.markNow(), name)
            val failed = failedMember()
            if (failed != null) {
                awaitEndOfStall(failed)
                socket.send(
                    response(request, "", "503 Busy", headers = "Not-Run: yes\r\nFaulty: 127.0.0.1:${failed.port}\r\n"),
                )
                return true
            }
            if (request.body == FATAL_BODY) {
                Thread.sleep(CRASH_DELAY.inWholeMilliseconds)
                crash(incarnationListener)
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

        private fun failedMember(): RestartingServer? =
            lockstepGroups[index / groupSize].firstOrNull { it !== this && it.crashedAt != null }

        private fun awaitEndOfStall(failed: RestartingServer) {
            val remaining = STALL_TIME - (failed.crashedAt?.elapsedNow() ?: return)
            if (remaining.isPositive()) Thread.sleep(remaining.inWholeMilliseconds)
        }
    }

    private companion object {
        const val BACKLOG = 50

        /** Time from the arrival of the fatal request to the crash of its server. */
        val CRASH_DELAY = 20.milliseconds
        val WORK_TIME = 50.milliseconds

        /** Events that a stream writes, at intervals of [WORK_TIME], before its server crashes. */
        const val EVENTS_BEFORE_CRASH = 14
        val SLOW_TIME = 700.milliseconds

        /** Time for which servers stall when a member of their group has failed. */
        val STALL_TIME = 1_500.milliseconds
    }
}
