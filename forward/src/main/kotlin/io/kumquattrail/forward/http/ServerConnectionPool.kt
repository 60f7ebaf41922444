package io.kumquattrail.forward.http

import io.kumquattrail.forward.process.ProcessClock
import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.NetUtil
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// Time for which idle connections are kept when the server does not state how long it keeps them open.
private val DEFAULT_KEEP_ALIVE = 4.seconds

// A request must reach the server before it closes the idle connection; this margin covers the transit time.
private val KEEP_ALIVE_MARGIN = 700.milliseconds

// Bytes that one read may take from a connection; the maximum bounds the memory of a connection that is not being read.
private const val MINIMUM_READ_BYTES = 64
private const val INITIAL_READ_BYTES = 2_048
private const val MAXIMUM_READ_BYTES = 16_384

/**
 * Size of the operating system's buffer for one connection in the direction of the caller. Without a limit it grows to
 * megabytes when a caller is slow; a tenth of a second at 10 Mbit/s is enough to keep a link busy.
 */
internal const val SOCKET_BUFFER_BYTES = 131_072

/** The network address of a backend server, a gateway or a platform service. */
data class NetworkAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Parses `IP:PORT`; returns `null` for any other text, as the look-up of a name would block the event loop. */
        fun parse(text: String): NetworkAddress? {
            val port = text.substringAfterLast(':', missingDelimiterValue = "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            val isAddress = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host)
            return if (isAddress && port in 1..65_535) NetworkAddress(host = host, port = port) else null
        }
    }
}

/** Whether a process listens at an address. */
enum class ListenerState {
    /** A process accepts connections. */
    LISTENS,

    /** The machine reports that no process listens. */
    GONE,

    /** No response was received; the process, the machine or the network may be at fault. */
    UNKNOWN,
}

/** Opens connections on one event loop and keeps idle ones for reuse. Must be used on that loop only. */
class ServerConnectionPool(
    private val eventLoop: EventLoop,
    private val requestIdHeader: String? = null,
    val limits: ResponseLimits = ResponseLimits(),
) {
    /** Total size of the bodies that are being collected from this pool's connections. */
    val collected = CollectedBytes(limits)
    private val idle = HashMap<NetworkAddress, ArrayDeque<ServerConnection>>()

    /**
     * Returns a connection to [address], or `null` when none could be opened within [connectTimeout].
     *
     * An idle connection is reused if it has been idle for at most [maximumIdle], the server still keeps it open and it has
     * not carried a request with the id [requestId]; with a [maximumIdle] of zero, a new one is opened.
     */
    suspend fun acquire(
        address: NetworkAddress,
        connectTimeout: Duration,
        maximumIdle: Duration = Duration.INFINITE,
        requestId: String? = null,
    ): ServerConnection? = reuse(address, maximumIdle, requestId) ?: open(address, connectTimeout)

    /** Returns whether a process listens at [address], within [timeout]; does not keep the connection. */
    suspend fun probe(
        address: NetworkAddress,
        timeout: Duration,
    ): ListenerState {
        val future = connect(address, timeout, ServerConnection(requestIdHeader, limits))
        return suspendCancellableCoroutine { continuation ->
            future.addListener { result ->
                future.channel().close()
                val cause = result.cause()
                val isRefused = cause is ConnectException && cause !is ConnectTimeoutException
                continuation.resume(
                    when {
                        result.isSuccess -> ListenerState.LISTENS
                        isRefused -> ListenerState.GONE
                        else -> ListenerState.UNKNOWN
                    },
                )
            }
            continuation.invokeOnCancellation { future.channel().close() }
        }
    }

    /** Keeps [connection] for further requests to [address], or closes it if it cannot be reused. */
    fun release(
        address: NetworkAddress,
        connection: ServerConnection,
    ) {
        if (connection.isReusable) {
            idle.getOrPut(address) { ArrayDeque() }.addLast(connection)
        } else {
            connection.close()
        }
    }

    /** Closes all idle connections to [address]. */
    fun closeIdle(address: NetworkAddress) {
        idle.remove(address)?.forEach { it.close() }
    }

    /**
     * Closes idle connections whose keep-alive time is about to end, and those to addresses that are not in
     * [addresses].
     */
    fun closeExpired(addresses: Set<NetworkAddress>? = null) {
        idle.entries.removeAll { (address, connections) ->
            val isUnlisted = addresses != null && address !in addresses
            connections.removeAll { connection ->
                (isUnlisted || isExpired(connection)).also { if (it) connection.close() }
            }
            connections.isEmpty()
        }
    }

    private fun reuse(
        address: NetworkAddress,
        maximumIdle: Duration,
        requestId: String?,
    ): ServerConnection? {
        if (maximumIdle == Duration.ZERO) return null
        val connections = idle[address] ?: return null
        // The most recently used connection has the most time left and is the least likely to be dead.
        val candidates = connections.listIterator(connections.size)
        while (candidates.hasPrevious()) {
            val connection = candidates.previous()
            if (!connection.isReusable || isExpired(connection)) {
                candidates.remove()
                connection.close()
            } else if (ProcessClock.monotonic() - connection.idleSince > maximumIdle) {
                return null
            } else if (requestId == null || !connection.hasCarried(requestId)) {
                candidates.remove()
                return connection
            }
        }
        return null
    }

    private fun isExpired(connection: ServerConnection): Boolean {
        val keepAlive = connection.keepAlive ?: DEFAULT_KEEP_ALIVE
        return ProcessClock.monotonic() - connection.idleSince > keepAlive - KEEP_ALIVE_MARGIN
    }

    private suspend fun open(
        address: NetworkAddress,
        connectTimeout: Duration,
    ): ServerConnection? {
        val connection = ServerConnection(requestIdHeader, limits)
        val future = connect(address, connectTimeout, connection)
        return suspendCancellableCoroutine { continuation ->
            future.addListener { result -> continuation.resume(if (result.isSuccess) connection else null) }
            continuation.invokeOnCancellation { future.channel().close() }
        }
    }

    private fun connect(
        address: NetworkAddress,
        timeout: Duration,
        connection: ServerConnection,
    ): ChannelFuture =
        Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES),
            ).option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                timeout.inWholeMilliseconds.toInt().coerceAtLeast(1),
            ).handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        connection.addTo(channel.pipeline())
                    }
                },
            ).connect(InetSocketAddress(address.host, address.port))
}
