package io.kumquattrail.node.configuration

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kumquattrail.decision.configuration.PublishedEntry
import io.kumquattrail.decision.configuration.PublishedValue
import io.kumquattrail.decision.configuration.RecordDelta
import io.kumquattrail.node.http.rejectMalformedResponses
import io.kumquattrail.node.settings.SocketAddress
import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Says why the configuration service gave no usable answer. */
sealed interface ServiceReadError {
    /** No well-formed response arrived in time, or no connection was made. */
    data class Unreachable(
        val cause: String,
    ) : ServiceReadError

    /** The service answered with an error status. */
    data class Status(
        val status: Int,
    ) : ServiceReadError

    /** The answer is not in the service's format. */
    data object Malformed : ServiceReadError
}

/** Describes a VM of the platform's list. [leaving] is true from the moment at which the platform starts to stop it. */
data class ListedVirtualMachine(
    val address: String,
    val zone: String,
    val leaving: Boolean,
)

/** Reads records and the list of VMs from replicas of the platform's configuration service. */
class ConfigurationServiceClient(
    vertx: Vertx,
    private val replicas: List<SocketAddress>,
    private val random: Random,
    private val answerTimeout: Duration = 2.seconds,
) {
    private val options = WebClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
    private val client =
        WebClient.wrap(
            vertx
                .httpClientBuilder()
                .with(options)
                .withConnectHandler { connection -> connection.rejectMalformedResponses() }
                .build(),
            options,
        )
    private val mapper = ObjectMapper()

    /** Reads the records above revision [after]; the service may hold the answer back for [wait]. */
    suspend fun records(
        after: Long,
        wait: Duration,
    ): Result<RecordDelta, ServiceReadError> =
        read("/v1/records?after=$after&wait_ms=${wait.inWholeMilliseconds}", wait + answerTimeout) { root ->
            RecordDelta(
                from = after,
                to = maxOf(after, root.path("revision").asLong()),
                entries = root.path("records").map(::entry),
            )
        }

    /** Reads the list of live and leaving VMs. */
    suspend fun virtualMachines(): Result<List<ListedVirtualMachine>, ServiceReadError> =
        read("/v1/vms", answerTimeout) { root ->
            root.path("vms").map {
                ListedVirtualMachine(
                    address = it.path("address").asText(),
                    zone = it.path("zone").asText(),
                    leaving = it.path("state").asText() == "leaving",
                )
            }
        }

    fun close() = client.close()

    private suspend fun <T> read(
        path: String,
        timeout: Duration,
        convert: (JsonNode) -> T,
    ): Result<T, ServiceReadError> {
        val replica = replicas.random(random)
        return try {
            val response =
                withTimeoutOrNull(timeout) { client.get(replica.port, replica.host, path).send().coAwait() }
            when {
                response == null -> Err(ServiceReadError.Unreachable("timeout"))
                response.statusCode() != HTTP_OK -> Err(ServiceReadError.Status(response.statusCode()))
                else -> Ok(convert(mapper.readTree(response.bodyAsBuffer()?.bytes ?: ByteArray(0))))
            }
        } catch (_: com.fasterxml.jackson.core.JsonProcessingException) {
            Err(ServiceReadError.Malformed)
        } catch (exception: IOException) {
            Err(ServiceReadError.Unreachable(exception.toString()))
        } catch (exception: VertxException) {
            Err(ServiceReadError.Unreachable(exception.toString()))
        }
    }

    private fun entry(node: JsonNode): PublishedEntry =
        PublishedEntry(
            kind = node.path("kind").asText(),
            name = node.path("name").asText(),
            revision = node.path("revision").asLong(),
            value = PublishedValue(mapper.writeValueAsBytes(node.path("value"))),
        )

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1_000
        const val HTTP_OK = 200
    }
}
