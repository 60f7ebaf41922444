package io.kumquattrail.forward.http

import io.kumquattrail.forward.process.ProcessClock
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpRequestDecoder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val MAXIMUM_LINE_BYTES = 16_384
private const val MAXIMUM_HEAD_BYTES = 32_768
private const val MAXIMUM_CHUNK_BYTES = 65_536

// Unsent bytes for a slow caller above which its stream pauses, and below which it continues.
private const val HIGH_UNSENT_BYTES = 32_768
private const val LOW_UNSENT_BYTES = 8_192

// Number of connections that may wait to be accepted. Callers connect in bursts of hundreds after another process
// fails.
private const val BACKLOG = 1_024

/** Accepts callers' connections. */
class HttpListener(
    private val group: EventLoopGroup,
    private val state: CallerListenerState,
) {
    /** Binds [address] and accepts connections from then on; throws when the address cannot be bound. */
    fun bind(address: NetworkAddress) {
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, SOCKET_BUFFER_BYTES)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                WriteBufferWaterMark(LOW_UNSENT_BYTES, HIGH_UNSENT_BYTES),
            ).childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        CallerConnection(state).addTo(
                            channel.pipeline(),
                            HttpRequestDecoder(MAXIMUM_LINE_BYTES, MAXIMUM_HEAD_BYTES, MAXIMUM_CHUNK_BYTES),
                        )
                    }
                },
            ).bind(InetSocketAddress(address.host, address.port))
            .sync()
        val interval = CALLER_EXPIRY_INTERVAL.inWholeMilliseconds
        group.next().scheduleWithFixedDelay(::closeExpired, interval, interval, TimeUnit.MILLISECONDS)
    }

    private fun closeExpired() {
        val now = ProcessClock.monotonic()
        val limits = state.limits()
        state.connections.toList().forEach { it.closeIfExpired(now, limits) }
    }
}
