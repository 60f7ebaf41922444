package io.kumquattrail.node.record

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.GroupRecord
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.Operation
import io.kumquattrail.decision.record.OrganisationRecord
import io.kumquattrail.decision.record.PublishedRecord
import io.kumquattrail.decision.record.RecordKey
import io.kumquattrail.decision.record.RecordKind
import io.kumquattrail.decision.record.RemovedRecord
import io.kumquattrail.decision.record.ServiceKind
import io.kumquattrail.decision.record.ServiceRecord
import io.kumquattrail.decision.record.ZoneRecord
import io.kumquattrail.node.settings.SocketAddress
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet

/**
 * Decodes published records from JSON.
 *
 * Fields that the program does not know are ignored, so that a newer record works beside older programs. A record whose
 * `minimum_reader` lies above [SCHEMA_VERSION] is rejected as a whole.
 */
class JsonRecordDecoder(
    private val mapper: ObjectMapper = ObjectMapper(),
) {
    /** Decodes [value]; the errors list every field that is wrong. */
    fun decode(value: ByteArray): Result<PublishedRecord, List<RecordError>> =
        try {
            decode(mapper.readTree(value))
        } catch (exception: JsonProcessingException) {
            Err(listOf(RecordError.Malformed(exception.originalMessage)))
        }

    /** Decodes the JSON object [node]; the errors list every field that is wrong. */
    fun decode(node: JsonNode?): Result<PublishedRecord, List<RecordError>> {
        if (node == null || !node.isObject) return Err(listOf(RecordError.Malformed("no JSON object")))
        val reader = FieldReader(node)
        val kind = RecordKind.of(reader.text("kind"))
        val minimumReader = reader.integer("minimum_reader", VERSIONS, default = 1)
        return when {
            reader.errors.isNotEmpty() -> Err(reader.errors)
            minimumReader > SCHEMA_VERSION -> Err(listOf(RecordError.TooNew(minimumReader)))
            kind == null -> Err(listOf(RecordError.UnknownKind(reader.text("kind"))))
            else -> decode(kind, reader)
        }
    }

    private fun decode(
        kind: RecordKind,
        reader: FieldReader,
    ): Result<PublishedRecord, List<RecordError>> {
        val version = reader.integer("schema_version", VERSIONS)
        val removed = reader.flag("removed", default = false)
        val record =
            if (removed) {
                RemovedRecord(key = RecordKey(kind, reader.text("name")), schemaVersion = version)
            } else {
                when (kind) {
                    RecordKind.ZONE -> zone(reader, version)
                    RecordKind.SERVICE -> service(reader, version)
                    RecordKind.SERVER -> server(reader, version)
                    RecordKind.GROUP -> group(reader, version)
                    RecordKind.ORGANISATION -> organisation(reader, version)
                }
            }
        return if (reader.errors.isEmpty()) Ok(record) else Err(reader.errors)
    }

    private fun zone(
        reader: FieldReader,
        version: Int,
    ) = ZoneRecord(
        name = ZoneName(reader.text("name")),
        region = reader.text("region", default = "default"),
        inService = reader.flag("in_service", default = true),
        schemaVersion = version,
    )

    private fun organisation(
        reader: FieldReader,
        version: Int,
    ) = OrganisationRecord(
        name = OrganisationName(reader.text("name")),
        weight = reader.integer("weight", WEIGHTS, default = 1),
        tokensPerSecond = reader.optionalLong("tokens_per_second", 1L..Long.MAX_VALUE),
        priority = reader.integer("priority", PRIORITIES, default = 0),
        bearerTokens = reader.textList("bearer_token_digests").toImmutableSet(),
        schemaVersion = version,
    )

    private fun server(
        reader: FieldReader,
        version: Int,
    ): BackendServerRecord {
        val address = reader.text("address")
        if (address.isNotEmpty() && SocketAddress.parse(address) == null) {
            reader.reject("address", address, "an address such as \"127.0.0.1:7000\"")
        }
        val warmConcurrency = reader.integer("warm_concurrency", CONCURRENCY, default = DEFAULT_WARM_CONCURRENCY)
        val coldConcurrency = reader.integer("cold_concurrency", CONCURRENCY, default = minOf(2, warmConcurrency))
        if (coldConcurrency > warmConcurrency) {
            reader.reject("cold_concurrency", coldConcurrency, "at most warm_concurrency, which is $warmConcurrency")
        }
        return BackendServerRecord(
            name = ServerName(reader.text("name")),
            service = ServiceName(reader.text("service")),
            zone = ZoneName(reader.text("zone")),
            address = address,
            weight = reader.integer("weight", WEIGHTS, default = 1),
            inService = reader.flag("in_service", default = true),
            warmConcurrency = warmConcurrency,
            coldConcurrency = coldConcurrency,
            coldTokens = reader.integer("cold_tokens", 1..Int.MAX_VALUE, default = DEFAULT_COLD_TOKENS),
            checksFencing = reader.flag("checks_fencing", default = false),
            schemaVersion = version,
        )
    }

    private fun service(
        reader: FieldReader,
        version: Int,
    ): ServiceRecord {
        val kind = reader.text("service_kind", default = "model")
        if (kind != "model" && kind != "plain") reader.reject("service_kind", kind, "model or plain")
        val owners = reader.objectList("key_owners", ::keyOwners)
        owners.zipWithNext().forEach { (earlier, later) ->
            if (later.fromMilliseconds < earlier.untilMilliseconds) {
                reader.reject("key_owners", later.fromMilliseconds, "intervals in order that do not overlap")
            }
        }
        return ServiceRecord(
            name = ServiceName(reader.text("name")),
            kind = if (kind == "plain") ServiceKind.PLAIN else ServiceKind.MODEL,
            operations = reader.objectList("operations", ::operation).toImmutableList(),
            keyOwners = owners.toImmutableList(),
            schemaVersion = version,
        )
    }

    private fun operation(reader: FieldReader): Operation {
        val pathPrefix = reader.text("path_prefix", default = "/")
        if (!pathPrefix.startsWith('/')) reader.reject("path_prefix", pathPrefix, "a path that starts with '/'")
        return Operation(
            method = reader.text("method", default = "*"),
            pathPrefix = pathPrefix,
            repeatable = reader.flag("repeatable", default = false),
        )
    }

    private fun keyOwners(reader: FieldReader): KeyOwnerGeneration {
        val from = reader.long("from_ms", 0L..Long.MAX_VALUE)
        val until = reader.long("until_ms", 0L..Long.MAX_VALUE)
        if (until <= from) reader.reject("until_ms", until, "a time after from_ms")
        val servers = reader.textList("servers").map(::ServerName)
        if (servers.isEmpty()) reader.reject("servers", "[]", "at least one server")
        return KeyOwnerGeneration(from, until, servers.toImmutableList())
    }

    private fun group(
        reader: FieldReader,
        version: Int,
    ): GroupRecord {
        val ranks = reader.textList("ranks").map(::ServerName)
        if (ranks.size !in RANKS || ranks.toSet().size != ranks.size) {
            reader.reject("ranks", ranks, "from ${RANKS.first} to ${RANKS.last} different servers")
        }
        val experts = reader.integer("experts", EXPERTS)
        val expertsPerRank = reader.integer("experts_per_rank", EXPERTS)
        if (ranks.size.toLong() * expertsPerRank < experts) {
            reader.reject("experts_per_rank", expertsPerRank, "room for all $experts experts on ${ranks.size} ranks")
        }
        return GroupRecord(
            name = GroupName(reader.text("name")),
            service = ServiceName(reader.text("service")),
            ranks = ranks.toImmutableList(),
            layers = reader.integer("layers", LAYERS),
            experts = experts,
            expertsPerRank = expertsPerRank,
            expertBytes = reader.long("expert_bytes", 1L..Long.MAX_VALUE),
            ranksPerNode = reader.integer("ranks_per_node", RANKS, default = DEFAULT_RANKS_PER_NODE),
            schemaVersion = version,
        )
    }

    companion object {
        /** Newest schema version that this program understands. */
        const val SCHEMA_VERSION: Int = 1

        private const val DEFAULT_WARM_CONCURRENCY = 32
        private const val DEFAULT_COLD_TOKENS = 4_096
        private const val DEFAULT_RANKS_PER_NODE = 8
        private val VERSIONS = 1..1_000_000
        private val WEIGHTS = 1..1_000_000
        private val PRIORITIES = -100..100
        private val CONCURRENCY = 1..100_000
        private val RANKS = 1..4_096
        private val EXPERTS = 1..65_536
        private val LAYERS = 1..10_000
    }
}
