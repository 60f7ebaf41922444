package io.kumquattrail.node.membership

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.membership.MemberState
import io.kumquattrail.decision.membership.MemberUpdate
import io.kumquattrail.decision.membership.MembershipHeader
import io.kumquattrail.decision.membership.MembershipMessage
import io.kumquattrail.protocol.v1.MembershipMessage.Kind
import io.kumquattrail.protocol.v1.MemberUpdate as MemberUpdateProto
import io.kumquattrail.protocol.v1.MembershipMessage as MembershipMessageProto

/** Converts the message to its wire form. */
internal fun MembershipMessage.toProto(): MembershipMessageProto {
    val builder =
        MembershipMessageProto
            .newBuilder()
            .setSender(header.sender.value)
            .setIncarnation(header.incarnation.toString())
            .setCounter(header.counter)
            .setZone(header.zone?.value.orEmpty())
            .addAllUpdates(header.updates.map { it.toProto() })
    when (this) {
        is MembershipMessage.Probe -> {
            builder.setKind(Kind.PROBE)
        }

        is MembershipMessage.Answer -> {
            builder.setKind(Kind.ANSWER)
        }

        is MembershipMessage.ProbeThrough -> {
            builder.setKind(Kind.PROBE_THROUGH).setTarget(target.value)
        }

        is MembershipMessage.ProbeThroughResult -> {
            builder.setKind(Kind.PROBE_THROUGH_RESULT).setTarget(target.value).setReached(reached)
        }
    }
    return builder.build()
}

/** Converts the wire form; returns `null` when it names no valid incarnation or a kind that this program does not know. */
internal fun MembershipMessageProto.toMessage(): MembershipMessage? {
    val header =
        MembershipHeader(
            sender = ProcessName(sender),
            incarnation = Incarnation.parse(incarnation) ?: return null,
            counter = counter,
            zone = zone.takeIf { it.isNotEmpty() }?.let(::ZoneName),
            updates = updatesList.mapNotNull { it.toUpdate() },
        )
    return when (kind) {
        Kind.PROBE -> MembershipMessage.Probe(header)
        Kind.ANSWER -> MembershipMessage.Answer(header)
        Kind.PROBE_THROUGH -> MembershipMessage.ProbeThrough(header, ProcessName(target))
        Kind.PROBE_THROUGH_RESULT -> MembershipMessage.ProbeThroughResult(header, ProcessName(target), reached)
        Kind.KIND_UNSPECIFIED, Kind.UNRECOGNIZED, null -> null
    }
}

private fun MemberUpdate.toProto(): MemberUpdateProto =
    MemberUpdateProto
        .newBuilder()
        .setProcess(process.value)
        .setIncarnation(incarnation?.toString().orEmpty())
        .setCounter(counter)
        .setState(state.label)
        .build()

private fun MemberUpdateProto.toUpdate(): MemberUpdate? {
    val known = MemberState.of(state) ?: return null
    return MemberUpdate(ProcessName(process), Incarnation.parse(incarnation), counter, known)
}
