package io.kumquattrail.decision.timeline

import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import kotlin.time.Duration

/** Describes one thing that happened in a process, with the evidence on which it was decided. */
sealed interface TimelineEvent {
    /** Name of the kind of event, stable across releases. */
    val kind: String

    /** What the event is about, such as a request or a zone. */
    val subject: String

    /** Names and values that explain the event; names are lower case with underscores and end with a unit. */
    val evidence: Map<String, String>

    /** Whether events of this kind follow each request, so that they are far more numerous than others. */
    val isPerRequest: Boolean get() = false

    /** A gateway chose [server] for an attempt out of [candidates] servers. */
    data class RequestRouted(
        val request: String,
        val attempt: Int,
        val service: ServiceName,
        val server: ServerName,
        val organisation: OrganisationName,
        val candidates: Int,
        val tokensInFlight: Long,
    ) : TimelineEvent {
        override val kind get() = "request_routed"
        override val subject get() = request
        override val isPerRequest get() = true
        override val evidence
            get() =
                evidenceOf(
                    EvidenceName.REQUEST to request,
                    "attempt" to attempt,
                    "service" to service,
                    "server" to server,
                    "organisation" to organisation,
                    "candidates" to candidates,
                    "tokens_in_flight" to tokensInFlight,
                )
    }

    /** An attempt was refused for [reason]. */
    data class AttemptRefused(
        val request: String,
        val attempt: Int,
        val server: ServerName?,
        val reason: RefusalReason,
        val runState: RunState,
    ) : TimelineEvent {
        override val kind get() = "attempt_refused"
        override val subject get() = request
        override val isPerRequest get() = true
        override val evidence
            get() =
                evidenceOf(
                    EvidenceName.REQUEST to request,
                    "attempt" to attempt,
                    "server" to server,
                    "reason" to reason.type,
                    "run" to runState.label,
                )
    }

    /** A gateway starts another attempt, as the one before ended with [reason]. */
    data class AttemptRetried(
        val request: String,
        val attempt: Int,
        val server: ServerName,
        val reason: RefusalReason,
        val remaining: Duration,
    ) : TimelineEvent {
        override val kind get() = "attempt_retried"
        override val subject get() = request
        override val isPerRequest get() = true
        override val evidence
            get() =
                evidenceOf(
                    EvidenceName.REQUEST to request,
                    "attempt" to attempt,
                    "server" to server,
                    "reason" to reason.type,
                    "remaining_ms" to remaining.inWholeMilliseconds,
                )
    }

    /** A stream that broke on [from] continues on [to] after [tokenOffset] tokens. */
    data class StreamResumed(
        val request: String,
        val attempt: Int,
        val from: ServerName,
        val to: ServerName,
        val tokenOffset: Long,
    ) : TimelineEvent {
        override val kind get() = "stream_resumed"
        override val subject get() = request
        override val isPerRequest get() = true
        override val evidence
            get() =
                evidenceOf(
                    EvidenceName.REQUEST to request,
                    "attempt" to attempt,
                    "from" to from,
                    "server" to to,
                    "token_offset" to tokenOffset,
                )
    }

    /** A record took [zone] out of service in this process. */
    data class ZoneOutOfService(
        val zone: ZoneName,
        val revision: Long,
    ) : TimelineEvent {
        override val kind get() = "zone_out_of_service"
        override val subject get() = zone.value
        override val evidence get() = evidenceOf(EvidenceName.ZONE to zone, "revision" to revision)
    }

    /** A record returned [zone] to service in this process. */
    data class ZoneInService(
        val zone: ZoneName,
        val revision: Long,
    ) : TimelineEvent {
        override val kind get() = "zone_in_service"
        override val subject get() = zone.value
        override val evidence get() = evidenceOf(EvidenceName.ZONE to zone, "revision" to revision)
    }

    /** The agent considers its server cold because of [cause]. */
    data class ServerCold(
        val server: ServerName,
        val zone: ZoneName,
        val cause: ColdCause,
        val limitRequests: Int,
    ) : TimelineEvent {
        override val kind get() = "server_cold"
        override val subject get() = server.value
        override val evidence
            get() =
                evidenceOf(
                    "server" to server,
                    EvidenceName.ZONE to zone,
                    "cause" to cause.label,
                    "limit_requests" to limitRequests,
                )
    }

    /** The agent considers its server warm after [completed] requests in cold start. */
    data class ServerWarm(
        val server: ServerName,
        val zone: ZoneName,
        val completed: Int,
        val after: Duration,
    ) : TimelineEvent {
        override val kind get() = "server_warm"
        override val subject get() = server.value
        override val evidence
            get() =
                evidenceOf(
                    "server" to server,
                    EvidenceName.ZONE to zone,
                    "completed_requests" to completed,
                    "after_ms" to after.inWholeMilliseconds,
                )
    }

    /** [subject] stopped taking new work because of [cause] with [inFlight] requests in progress. */
    data class DrainStarted(
        override val subject: String,
        val zone: ZoneName,
        val cause: DrainCause,
        val inFlight: Int,
    ) : TimelineEvent {
        override val kind get() = "drain_started"
        override val evidence
            get() = evidenceOf(EvidenceName.ZONE to zone, "cause" to cause.label, "in_flight_requests" to inFlight)
    }

    /** [subject] has no work in progress any more. */
    data class DrainFinished(
        override val subject: String,
        val zone: ZoneName,
        val after: Duration,
    ) : TimelineEvent {
        override val kind get() = "drain_finished"
        override val evidence get() = evidenceOf(EvidenceName.ZONE to zone, "after_ms" to after.inWholeMilliseconds)
    }

    /** The owner of an idempotency key decided what happens to a call with it. */
    data class KeyDecided(
        val key: String,
        val request: String,
        val decision: KeyDecision,
        val round: Int,
    ) : TimelineEvent {
        override val kind get() = "key_decided"
        override val subject get() = key
        override val isPerRequest get() = true
        override val evidence
            get() =
                evidenceOf(
                    EvidenceName.REQUEST to request,
                    "key" to key,
                    "decision" to decision.label,
                    "round" to round,
                )
    }

    /** An expert map change of [group] to [mapVersion] reached [phase]. */
    data class MapChange(
        val group: GroupName,
        val mapVersion: Long,
        val phase: MapChangePhase,
        val step: Long?,
        val ranksAgreed: Int?,
        val ranks: Int,
    ) : TimelineEvent {
        override val kind get() = "map_change"
        override val subject get() = group.value
        override val evidence
            get() =
                evidenceOf(
                    "group" to group,
                    EvidenceName.MAP_VERSION to mapVersion,
                    "phase" to phase.label,
                    "step" to step,
                    "ranks_agreed" to ranksAgreed,
                    "ranks" to ranks,
                )
    }

    /** The records of [revision] took effect in this process, learned from [source]. */
    data class ConfigurationInEffect(
        val revision: Long,
        val previous: Long,
        val changed: List<String>,
        val rejected: List<String>,
        val confirmed: Boolean,
        val source: String,
    ) : TimelineEvent {
        override val kind get() = "configuration_in_effect"
        override val subject get() = revision.toString()
        override val evidence
            get() =
                evidenceOf(
                    "revision" to revision,
                    "previous_revision" to previous,
                    "changed" to listed(changed),
                    "rejected" to listed(rejected),
                    "confirmed" to confirmed,
                    "source" to source,
                )
    }

    /** This process's view of [process] changed to [state]. */
    data class MembershipChanged(
        val process: ProcessName,
        val state: String,
        val previous: String?,
        val cause: String,
    ) : TimelineEvent {
        override val kind get() = "membership_changed"
        override val subject get() = process.value
        override val evidence
            get() = evidenceOf("process" to process, "state" to state, "previous_state" to previous, "cause" to cause)
    }

    /** The warning [name] about [subject] was raised; [nextStep] is what the operator does. */
    data class WarningRaised(
        val name: String,
        override val subject: String,
        val cause: String,
        val nextStep: String,
        val figures: Map<String, String> = emptyMap(),
    ) : TimelineEvent {
        override val kind get() = "warning_raised"
        override val evidence
            get() = evidenceOf("warning" to name, "cause" to cause, "next_step" to nextStep) + figures
    }

    /** The warning [name] about [subject] no longer holds. */
    data class WarningCleared(
        val name: String,
        override val subject: String,
        val after: Duration,
    ) : TimelineEvent {
        override val kind get() = "warning_cleared"
        override val evidence get() = evidenceOf("warning" to name, "after_ms" to after.inWholeMilliseconds)
    }
}

/** Names of the evidence by which timelines are filtered. */
object EvidenceName {
    const val REQUEST = "request"
    const val ZONE = "zone"
    const val MAP_VERSION = "map_version"
}

/** Lists the signs by which a server is considered cold. */
enum class ColdCause(
    val label: String,
) {
    AGENT_STARTED("agent_started"),
    SERVER_RESTARTED("server_restarted"),
    CONNECTION_RESET("connection_reset"),
    LATE_FIRST_TOKEN("late_first_token"),
    SILENT_SERVER("silent_server"),
    AGENT_PAUSED("agent_paused"),
}

/** Lists the reasons for which a process or server takes no new work. */
enum class DrainCause(
    val label: String,
) {
    ZONE_OUT_OF_SERVICE("zone_out_of_service"),
    SERVER_OUT_OF_SERVICE("server_out_of_service"),
    VM_LEAVING("vm_leaving"),
    PROCESS_STOPPING("process_stopping"),
}

/** Lists what the owner of an idempotency key can decide. */
enum class KeyDecision(
    val label: String,
) {
    RUN("run"),
    STORED_RESPONSE("stored_response"),
    IN_PROGRESS("in_progress"),
    VOIDED("voided"),
    UNKNOWN("unknown"),
    REFUSED("refused"),
}

/** Lists the phases of an expert map change. */
enum class MapChangePhase(
    val label: String,
) {
    QUERIED("queried"),
    PREPARED("prepared"),
    SCHEDULED("scheduled"),
    COMMITTED("committed"),
    ABORTED("aborted"),
    IN_EFFECT("in_effect"),
}

private const val LISTED_MOST = 10

private fun listed(names: List<String>): String =
    names.take(LISTED_MOST).joinToString(",") +
        if (names.size > LISTED_MOST) " and ${names.size - LISTED_MOST} more" else ""

private fun evidenceOf(vararg pairs: Pair<String, Any?>): Map<String, String> =
    pairs.filter { it.second != null }.associate { it.first to it.second.toString() }
