package io.kumquattrail.node.rpc

import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext
import io.kumquattrail.node.settings.TransportSecurity
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Keeps one gRPC channel to each peer that this process talks to. */
class ChannelPool(
    security: TransportSecurity? = null,
) : AutoCloseable {
    private val sslContext: SslContext? = security?.let(RpcSecurity::client)
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Returns the channel to [address], in the form `IP:PORT`. The channel connects at its first call. */
    fun channel(address: String): ManagedChannel = channels.computeIfAbsent(address, ::open)

    /** Closes channels to peers that are not in [addresses]; calls in progress end first. */
    fun retain(addresses: Set<String>) {
        channels.keys
            .filterNot { it in addresses }
            .forEach { channels.remove(it)?.shutdown() }
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        channels.clear()
    }

    private fun open(address: String): ManagedChannel {
        val builder =
            NettyChannelBuilder
                .forTarget("dns:///$address")
                .disableServiceConfigLookUp()
                .maxInboundMessageSize(RpcServer.LARGEST_MESSAGE_BYTES)
                .keepAliveTime(RpcServer.KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                .disableRetry()
        if (sslContext == null) builder.usePlaintext() else builder.sslContext(sslContext)
        return builder.build()
    }
}
