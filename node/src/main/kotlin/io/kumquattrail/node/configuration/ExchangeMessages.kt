package io.kumquattrail.node.configuration

import com.google.protobuf.ByteString
import io.kumquattrail.decision.configuration.ExchangeMessage
import io.kumquattrail.decision.configuration.PublishedEntry
import io.kumquattrail.decision.configuration.PublishedValue
import io.kumquattrail.decision.configuration.RecordDelta
import io.kumquattrail.decision.configuration.RecordSubscription
import io.kumquattrail.decision.identity.ProcessName
import kotlinx.collections.immutable.toImmutableSet
import io.kumquattrail.protocol.v1.ExchangeMessage as ExchangeMessageProto
import io.kumquattrail.protocol.v1.PublishedRecordEntry as EntryProto
import io.kumquattrail.protocol.v1.RecordDelta as RecordDeltaProto

/** Converts the message to its wire form. */
fun ExchangeMessage.toProto(): ExchangeMessageProto {
    val builder =
        ExchangeMessageProto
            .newBuilder()
            .setSender(sender.value)
            .setRevision(revision)
            .setConfirmed(confirmed)
            .addAllExcludedKinds(subscription.excludedKinds)
    delta?.let { builder.setDelta(it.toProto()) }
    return builder.build()
}

/** Converts the wire form to a message. */
fun ExchangeMessageProto.toMessage(): ExchangeMessage =
    ExchangeMessage(
        sender = ProcessName(sender),
        revision = revision,
        confirmed = confirmed,
        subscription = RecordSubscription(excludedKindsList.toImmutableSet()),
        delta = if (hasDelta()) delta.toDelta() else null,
    )

private fun RecordDelta.toProto(): RecordDeltaProto =
    RecordDeltaProto
        .newBuilder()
        .setFrom(from)
        .setTo(to)
        .addAllExcludedKinds(subscription.excludedKinds)
        .addAllEntries(entries.map { it.toProto() })
        .build()

private fun PublishedEntry.toProto(): EntryProto =
    EntryProto
        .newBuilder()
        .setKind(kind)
        .setName(name)
        .setRevision(revision)
        .setValue(ByteString.copyFrom(value.toByteArray()))
        .build()

private fun RecordDeltaProto.toDelta(): RecordDelta =
    RecordDelta(
        from = from,
        to = to,
        entries =
            entriesList.map {
                PublishedEntry(it.kind, it.name, it.revision, PublishedValue(it.value.toByteArray()))
            },
        subscription = RecordSubscription(excludedKindsList.toImmutableSet()),
    )
