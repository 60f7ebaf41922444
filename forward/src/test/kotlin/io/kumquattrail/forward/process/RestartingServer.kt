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

/** Body of a request that ends each server that begins to run it. */
internal const val FATAL_BODY = "fatal"

/** Begins the body of a stream whose server ends, for another reason, after it has written for a while. */
internal const val ENDING_BODY = "ending"

/** Begins the body of a request that takes a long time. */
internal const val SLOW_BODY = "slow"

/** Arrival of a request at a server, or the end of a server. */
internal data class ServerEvent(
    val at: TimeSource.Monotonic.ValueTimeMark,
    val server: String,
)

/**
 * Backend servers on loopback that end when they begin to run a request with [FATAL_BODY], and come back at the same
 * address under another name.
 *
 * @property groupSize servers that work in lockstep: the end of one stalls the others, which then break off what they
 *   were running and refuse requests until all are back; 1 for servers on their own.
 * @property onChange called with the registrations after each change.
 */
internal class RestartingServers(
    count: Int,
    private val groupSize: Int = 1,
    private val restartTime: Duration = 2.seconds,
    private val onChange: (List<BackendServer>) -> Unit,
) : AutoCloseable {
    private val servers = List(count) { RestartingServer(it) }
    private val members = servers.chunked(groupSize)

    /** Arrivals of the fatal request. */
    val fatalArrivals = CopyOnWriteArrayList<ServerEvent>()

    /** Ends of servers. */
    val ends = CopyOnWriteArrayList<ServerEvent>()

    /** The servers as they are registered. */
    val registered: List<BackendServer> get() = servers.map { it.registration() }

    /** Number of the group of each server; none for servers on their own. */
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

        @Volatile var endedAt: TimeSource.Monotonic.ValueTimeMark? = null

        fun registration() = BackendServer(ServerName(name), SERVICE, "127.0.0.1", port, ZoneName("a"), slots = 8)

        @Synchronized
        fun start() {
            if (closed) return
            val opened = ServerSocket().apply { reuseAddress = true }
            opened.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG)
            starts += 1
            name = "s$index-$starts"
            endedAt = null
            listener = opened
            thread(isDaemon = true) {
                while (true) {
                    val socket = runCatching { opened.accept() }.getOrNull() ?: break
                    sockets += socket
                    thread(isDaemon = true) { socket.use { serve(it, opened) } }
                }
            }
        }

        /** Ends as a killed process does: every connection is reset, and nobody listens at the address. */
        @Synchronized
        private fun end(running: ServerSocket) {
            if (listener !== running) return
            endedAt = TimeSource.Monotonic.markNow()
            ends += ServerEvent(TimeSource.Monotonic.markNow(), name)
            listener = null
            running.close()
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
            running: ServerSocket,
        ) {
            // A socket that the end of the server has closed fails wherever it is used.
            runCatching {
                do {
                    val request = readRequest(socket.getInputStream()) ?: return
                } while (run(request, socket, running))
            }
        }

        private fun run(
            request: ReceivedRequest,
            socket: Socket,
            running: ServerSocket,
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
                Thread.sleep(BEGIN_TIME.inWholeMilliseconds)
                end(running)
                return false
            }
            if (request.body.startsWith(ENDING_BODY)) {
                socket.send(streamHead(request))
                repeat(EVENTS_BEFORE_END) {
                    socket.send(chunk(event(it + 1)))
                    Thread.sleep(WORK_TIME.inWholeMilliseconds)
                }
                end(running)
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
            members[index / groupSize].firstOrNull { it !== this && it.endedAt != null }

        private fun awaitEndOfStall(failed: RestartingServer) {
            val left = STALL_TIME - (failed.endedAt?.elapsedNow() ?: return)
            if (left.isPositive()) Thread.sleep(left.inWholeMilliseconds)
        }
    }

    private companion object {
        const val BACKLOG = 50

        /** Time from the arrival of the fatal request to the end of its server. */
        val BEGIN_TIME = 20.milliseconds
        val WORK_TIME = 50.milliseconds

        /** Events at intervals of [WORK_TIME] that a stream lasts before its server ends. */
        const val EVENTS_BEFORE_END = 14
        val SLOW_TIME = 700.milliseconds

        /** Time for which servers wait for a failed member of their group. */
        val STALL_TIME = 1_500.milliseconds
    }
}
