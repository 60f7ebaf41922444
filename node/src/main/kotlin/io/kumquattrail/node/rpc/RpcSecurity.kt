package io.kumquattrail.node.rpc

import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts
import io.grpc.netty.shaded.io.netty.handler.ssl.ClientAuth
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContextBuilder
import io.grpc.util.AdvancedTlsX509KeyManager
import io.grpc.util.AdvancedTlsX509TrustManager
import io.kumquattrail.node.settings.TransportSecurity
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Builds mutual TLS contexts whose files are read again while the process runs, so that keys can be rotated. */
internal object RpcSecurity {
    private const val RELOAD_SECONDS = 10L

    private val reload: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "tls-reload").apply { isDaemon = true } }

    fun server(security: TransportSecurity): SslContext =
        GrpcSslContexts
            .configure(SslContextBuilder.forServer(keyManager(security)))
            .trustManager(trustManager(security))
            .clientAuth(ClientAuth.REQUIRE)
            .build()

    fun client(security: TransportSecurity): SslContext =
        GrpcSslContexts
            .configure(SslContextBuilder.forClient())
            .keyManager(keyManager(security))
            .trustManager(trustManager(security))
            .build()

    private fun keyManager(security: TransportSecurity): AdvancedTlsX509KeyManager =
        AdvancedTlsX509KeyManager().apply {
            updateIdentityCredentials(
                security.certificate.toFile(),
                security.key.toFile(),
                RELOAD_SECONDS,
                TimeUnit.SECONDS,
                reload,
            )
        }

    private fun trustManager(security: TransportSecurity): AdvancedTlsX509TrustManager =
        AdvancedTlsX509TrustManager
            .newBuilder()
            .build()
            .apply {
                updateTrustCredentials(security.authority.toFile(), RELOAD_SECONDS, TimeUnit.SECONDS, reload)
            }
}
