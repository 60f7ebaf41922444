package io.kumquattrail.node.rpc

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.kumquattrail.node.log.PartLogger
import io.kumquattrail.node.settings.SocketAddress
import io.kumquattrail.node.settings.TransportSecurity
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Serves gRPC to the other processes of the system. */
class RpcServer(
    private val address: SocketAddress,
    private val services: List<BindableService>,
    private val security: TransportSecurity? = null,
) {
    private val log = PartLogger("node.rpc")
    private var server: Server? = null

    /** Opens the port and returns the port number, which differs from the settings when they say 0. */
    fun start(): Int {
        val builder = NettyServerBuilder.forAddress(InetSocketAddress(address.host, address.port))
        services.forEach(builder::addService)
        builder
            .maxInboundMessageSize(LARGEST_MESSAGE_BYTES)
            .permitKeepAliveTime(KEEP_ALIVE_SECONDS / 2, TimeUnit.SECONDS)
            .permitKeepAliveWithoutCalls(true)
        security?.let { builder.sslContext(RpcSecurity.server(it)) }
        val opened = builder.build().start()
        server = opened
        log.info("listening", "address" to address.copy(port = opened.port), "tls" to (security != null))
        return opened.port
    }

    /** Refuses new calls, waits up to [timeout] for calls in progress, then closes. */
    fun stop(timeout: Duration) {
        val running = server ?: return
        running.shutdown()
        if (!running.awaitTermination(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)) {
            log.warn("calls in progress exceeded the drain timeout", "timeout" to timeout)
            running.shutdownNow()
        }
    }

    /** Closes at once, as a process that dies does. */
    fun kill() {
        server?.shutdownNow()
    }

    internal companion object {
        const val LARGEST_MESSAGE_BYTES = 80 shl 20
        const val KEEP_ALIVE_SECONDS = 20L
    }
}
