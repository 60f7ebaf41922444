package io.kumquattrail.decision.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.OrganisationRecord
import io.kumquattrail.decision.record.RecordKey
import io.kumquattrail.decision.record.RecordKind
import io.kumquattrail.decision.record.RemovedRecord
import io.kumquattrail.decision.record.ServiceKind
import io.kumquattrail.decision.record.ServiceRecord
import io.kumquattrail.decision.record.ZoneRecord
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Reads records whose value is `in`, `out`, `removed`, a server's address, or generations such as `0-10=a`. */
internal val testDecoder =
    RecordDecoder { entry ->
        val text = entry.value.toByteArray().decodeToString()
        val kind = RecordKind.of(entry.kind)
        when {
            kind == null -> Err(RejectionReason.UnknownKind)
            text == "bad" -> Err(RejectionReason.Malformed("value"))
            text == "removed" -> Ok(RemovedRecord(RecordKey(kind, entry.name)))
            kind == RecordKind.ZONE -> Ok(ZoneRecord(ZoneName(entry.name), inService = text == "in"))
            kind == RecordKind.ORGANISATION -> Ok(OrganisationRecord(OrganisationName(entry.name)))
            kind == RecordKind.SERVER -> Ok(server(entry.name, address = text))
            else -> Ok(ServiceRecord(ServiceName(entry.name), ServiceKind.PLAIN, keyOwners = generations(text)))
        }
    }

private fun server(
    name: String,
    address: String,
) = BackendServerRecord(ServerName(name), ServiceName("ledger"), ZoneName("north"), address)

private fun generations(text: String) =
    text
        .split(",")
        .filter { it.isNotEmpty() }
        .map { generation ->
            val (from, until, server) = generation.split("-", "=")
            KeyOwnerGeneration(from.toLong(), until.toLong(), persistentListOf(ServerName(server)))
        }.toPersistentList()

internal fun entry(
    revision: Long,
    value: String,
    name: String = "north",
    kind: String = "zone",
): PublishedEntry = PublishedEntry(kind, name, revision, PublishedValue(value.toByteArray()))

internal fun delta(
    from: Long,
    to: Long,
    vararg entries: PublishedEntry,
    subscription: RecordSubscription = RecordSubscription.ALL,
): RecordDelta = RecordDelta(from, to, entries.toList(), subscription)
