package io.kumquattrail.node.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.mapError
import io.kumquattrail.decision.identity.ZoneName
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Holds what every process of the system needs to know.
 *
 * @property zone availability zone in which the process runs.
 * @property rpc address on which peers reach the process.
 * @property operations address of `/metrics`, `/livez` and `/readyz`.
 * @property configurationServices replicas of the configuration service, at least one.
 * @property drainTimeout longest time that a graceful shutdown waits for work in progress.
 * @property transportSecurity files for TLS between processes, or `null` for plain text.
 */
data class NodeSettings(
    val zone: ZoneName,
    val rpc: SocketAddress,
    val operations: SocketAddress,
    val configurationServices: List<SocketAddress>,
    val drainTimeout: Duration = 10.minutes,
    val transportSecurity: TransportSecurity? = null,
) {
    companion object {
        private val DRAIN_TIMEOUT_RANGE = 1.seconds..24.hours

        fun read(reader: SettingsReader): NodeSettings =
            NodeSettings(
                zone = ZoneName(reader.text("node.zone")),
                rpc = reader.address("node.rpc_address"),
                operations = reader.address("node.operations_address"),
                configurationServices = reader.addressList("configuration.services"),
                drainTimeout = reader.duration("node.drain_timeout", DRAIN_TIMEOUT_RANGE, default = 10.minutes),
                transportSecurity = TransportSecurity.read(reader, "tls"),
            )
    }
}

/**
 * Names the PEM files of one side of a TLS connection.
 *
 * @property certificate certificate chain of this process.
 * @property key private key of this process, PKCS#8.
 * @property authority certificates of the authority that signs peers.
 */
data class TransportSecurity(
    val certificate: Path,
    val key: Path,
    val authority: Path,
) {
    companion object {
        /** Reads the section [section]; returns `null` when the section names no file. */
        fun read(
            reader: SettingsReader,
            section: String,
        ): TransportSecurity? {
            val keys = listOf("certificate", "key", "authority").map { "$section.$it" }
            if (keys.all { reader.optionalText(it) == null }) return null
            val (certificate, key, authority) = keys.map { Path.of(reader.text(it)) }
            return TransportSecurity(certificate, key, authority)
        }
    }
}

/** Names the PEM files with which a gateway identifies itself to callers. */
data class ServerCertificate(
    val certificate: Path,
    val key: Path,
) {
    companion object {
        /** Reads the section [section]; returns `null` when the section names no file. */
        fun read(
            reader: SettingsReader,
            section: String,
        ): ServerCertificate? {
            val keys = listOf("certificate", "key").map { "$section.$it" }
            if (keys.all { reader.optionalText(it) == null }) return null
            val (certificate, key) = keys.map { Path.of(reader.text(it)) }
            return ServerCertificate(certificate, key)
        }
    }
}

/**
 * Holds the settings of a gateway.
 *
 * @property callers address on which callers reach the gateway over HTTP.
 * @property largestBody largest request body in bytes; a larger one is refused.
 * @property defaultTimeout time that a call may take when the caller names none.
 * @property longestTimeout longest time that a caller may ask for.
 */
data class GatewaySettings(
    val node: NodeSettings,
    val callers: SocketAddress,
    val largestBody: Int = 1 shl 20,
    val defaultTimeout: Duration = 60.seconds,
    val longestTimeout: Duration = 10.minutes,
    val callersSecurity: ServerCertificate? = null,
) {
    companion object {
        private const val LARGEST_BODY_LIMIT = 64 shl 20
        private val TIMEOUT_RANGE = 10.milliseconds..1.hours

        fun load(path: Path): Result<GatewaySettings, List<SettingsError>> = loadSettings(path, ::read)

        fun read(reader: SettingsReader): GatewaySettings =
            GatewaySettings(
                node = NodeSettings.read(reader),
                callers = reader.address("gateway.callers_address"),
                largestBody = reader.integer("gateway.largest_body", 1..LARGEST_BODY_LIMIT, default = 1 shl 20),
                defaultTimeout = reader.duration("gateway.default_timeout", TIMEOUT_RANGE, default = 60.seconds),
                longestTimeout = reader.duration("gateway.longest_timeout", TIMEOUT_RANGE, default = 10.minutes),
                callersSecurity = ServerCertificate.read(reader, "gateway.tls"),
            )
    }
}

/**
 * Holds the settings of an agent.
 *
 * @property server published name of the backend server beside the agent.
 * @property backend address of the backend server.
 * @property keyClockError largest difference between wall clocks of VMs that idempotency keys tolerate.
 */
data class AgentSettings(
    val node: NodeSettings,
    val server: String,
    val backend: SocketAddress,
    val keyClockError: Duration = 2.seconds,
) {
    companion object {
        private val CLOCK_ERROR_RANGE = 0.milliseconds..1.minutes

        fun load(path: Path): Result<AgentSettings, List<SettingsError>> = loadSettings(path, ::read)

        fun read(reader: SettingsReader): AgentSettings =
            AgentSettings(
                node = NodeSettings.read(reader),
                server = reader.text("agent.server"),
                backend = reader.address("agent.backend_address"),
                keyClockError = reader.duration("agent.key_clock_error", CLOCK_ERROR_RANGE, default = 2.seconds),
            )
    }
}

private fun <T> loadSettings(
    path: Path,
    read: (SettingsReader) -> T,
): Result<T, List<SettingsError>> =
    TomlTable.load(path).mapError(::listOf).flatMap { table ->
        val reader = table.reader()
        val settings = read(reader)
        val errors = reader.errors + reader.unknownKeys()
        if (errors.isEmpty()) Ok(settings) else Err(errors)
    }
