package io.kumquattrail.decision.record

import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf

/** A record that operators have published. Records of old and new schema versions coexist. */
sealed interface PublishedRecord {
    /** Version of the schema in which the record was published. */
    val schemaVersion: Int

    /** Identifies the record among all records. */
    val key: RecordKey
}

/** Identifies a record by its kind and its name. */
data class RecordKey(
    val kind: RecordKind,
    val name: String,
) : Comparable<RecordKey> {
    override fun compareTo(other: RecordKey): Int = compareValuesBy(this, other, RecordKey::kind, RecordKey::name)

    override fun toString(): String = "${kind.label}/$name"
}

/** Lists the kinds of records. [label] is the kind's name in published records. */
enum class RecordKind(
    val label: String,
) {
    ZONE("zone"),
    SERVICE("service"),
    SERVER("server"),
    GROUP("group"),
    ORGANISATION("organisation"),
    ;

    companion object {
        /** Finds the kind with [label], or `null` when this program does not know it. */
        fun of(label: String): RecordKind? = entries.find { it.label == label }
    }
}

/**
 * Describes an organisation.
 *
 * @property weight share of the capacity relative to other organisations, at least 1.
 * @property tokensPerSecond limit over the whole fleet in tokens a second; `null` sets no limit.
 * @property priority higher values are served first and shed last.
 * @property bearerTokens SHA-256 digests, in hexadecimal, of the bearer tokens that identify the organisation.
 */
data class OrganisationRecord(
    val name: OrganisationName,
    val weight: Int = 1,
    val tokensPerSecond: Long? = null,
    val priority: Int = 0,
    val bearerTokens: ImmutableSet<String> = persistentSetOf(),
    override val schemaVersion: Int = 1,
) : PublishedRecord {
    override val key: RecordKey get() = RecordKey(RecordKind.ORGANISATION, name.value)
}

/**
 * Describes an availability zone.
 *
 * @property inService `false` while operators keep the zone out of service.
 */
data class ZoneRecord(
    val name: ZoneName,
    val region: String = "default",
    val inService: Boolean = true,
    override val schemaVersion: Int = 1,
) : PublishedRecord {
    override val key: RecordKey get() = RecordKey(RecordKind.ZONE, name.value)
}

/**
 * Describes a backend server and the agent beside it.
 *
 * @property address `IP:PORT` of the agent.
 * @property weight share of the service's traffic relative to other servers, at least 1.
 * @property inService `false` while operators keep the VM out of service.
 * @property warmConcurrency requests that the warm server can run at once.
 * @property coldConcurrency requests that the server can run at once in cold start, at least 1.
 * @property coldTokens prompt and output tokens in flight that the server supports in cold start.
 * @property checksFencing whether the server refuses an order that carries an old fencing number.
 */
data class BackendServerRecord(
    val name: ServerName,
    val service: ServiceName,
    val zone: ZoneName,
    val address: String,
    val weight: Int = 1,
    val inService: Boolean = true,
    val warmConcurrency: Int = 32,
    val coldConcurrency: Int = 2,
    val coldTokens: Int = 4_096,
    val checksFencing: Boolean = false,
    override val schemaVersion: Int = 1,
) : PublishedRecord {
    override val key: RecordKey get() = RecordKey(RecordKind.SERVER, name.value)
}

/** Distinguishes services of model runners from plain services. */
enum class ServiceKind { MODEL, PLAIN }

/**
 * Describes a service.
 *
 * @property operations how calls may be repeated; the first operation that matches a call decides. A call that none
 *   matches may be repeated when its method is GET, HEAD or OPTIONS.
 * @property keyOwners owners of caller keys by key time; generations never change once published.
 */
data class ServiceRecord(
    val name: ServiceName,
    val kind: ServiceKind,
    val operations: ImmutableList<Operation> = persistentListOf(),
    val keyOwners: ImmutableList<KeyOwnerGeneration> = persistentListOf(),
    override val schemaVersion: Int = 1,
) : PublishedRecord {
    override val key: RecordKey get() = RecordKey(RecordKind.SERVICE, name.value)
}

/**
 * Defines whether calls of one method under one path may be repeated.
 *
 * @property method HTTP method in upper case, or `*` for any.
 * @property pathPrefix path prefix below the service's root, starting with `/`.
 */
data class Operation(
    val method: String,
    val pathPrefix: String,
    val repeatable: Boolean,
)

/**
 * Names the servers that own caller keys of one interval of key time.
 *
 * @property fromMilliseconds first key time of the interval, in milliseconds since 1970-01-01T00:00:00Z.
 * @property untilMilliseconds first key time after the interval, in milliseconds since 1970-01-01T00:00:00Z.
 */
data class KeyOwnerGeneration(
    val fromMilliseconds: Long,
    val untilMilliseconds: Long,
    val servers: ImmutableList<ServerName>,
)

/**
 * Describes a group of ranks.
 *
 * @property ranks servers of the group; the position in the list is the rank.
 * @property layers number of layers with experts.
 * @property experts number of experts a layer.
 * @property expertsPerRank experts that fit into one rank's memory, a layer.
 * @property expertBytes size of one expert's weights in one layer, in bytes.
 * @property ranksPerNode consecutive ranks that share a node's fast links.
 */
data class GroupRecord(
    val name: GroupName,
    val service: ServiceName,
    val ranks: ImmutableList<ServerName>,
    val layers: Int,
    val experts: Int,
    val expertsPerRank: Int,
    val expertBytes: Long,
    val ranksPerNode: Int = 8,
    override val schemaVersion: Int = 1,
) : PublishedRecord {
    override val key: RecordKey get() = RecordKey(RecordKind.GROUP, name.value)
}

/** States that operators removed the record [key]; older copies of that record stay without effect. */
data class RemovedRecord(
    override val key: RecordKey,
    override val schemaVersion: Int = 1,
) : PublishedRecord
