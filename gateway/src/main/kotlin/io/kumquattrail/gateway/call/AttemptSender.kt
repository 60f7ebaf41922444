package io.kumquattrail.gateway.call

import com.google.protobuf.UnsafeByteOperations
import io.grpc.CallOptions
import io.grpc.StatusException
import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.delivery.CallAction
import io.kumquattrail.decision.delivery.CallEvent
import io.kumquattrail.decision.delivery.FrameContent
import io.kumquattrail.decision.delivery.WorkKind
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.routing.AssignmentEnd
import io.kumquattrail.decision.suspect.Crash
import io.kumquattrail.decision.suspect.ExecutionPolicy
import io.kumquattrail.decision.suspect.IsolatedRunPlacement
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.timeline.TimelineEvent
import io.kumquattrail.gateway.limit.LocalLimits
import io.kumquattrail.gateway.request.ClassifiedRequest
import io.kumquattrail.node.NodeRuntime
import io.kumquattrail.protocol.toFrame
import io.kumquattrail.protocol.toLoadReport
import io.kumquattrail.protocol.v1.ExecuteFrame
import io.kumquattrail.protocol.v1.ExecuteRequest
import io.kumquattrail.protocol.v1.ReleaseKeyRequest
import io.kumquattrail.protocol.v1.WorkServiceGrpcKt
import kotlinx.coroutines.delay
import java.util.concurrent.TimeUnit
import kotlin.time.DurationUnit

/** Sends the attempts of calls to agents and reports what comes back as events. */
class AttemptSender(
    private val node: NodeRuntime,
    private val selection: ServerSelection,
    private val limits: LocalLimits,
) {
    /** Sends [attempt] of [request] and reports everything that follows to [report], until the attempt has ended. */
    suspend fun send(
        requestId: String,
        request: ClassifiedRequest,
        attempt: CallAction.SendAttempt,
        deadline: MonotonicTime,
        report: suspend (CallEvent) -> Unit,
    ) {
        delay(attempt.delay)
        // An earlier attempt of this call may have crashed a second server, and a third must not be lost to it.
        limits.crashRefusal(request)?.let { return report(CallEvent.RefusedLocally(it)) }
        val server = server(request, attempt)
        if (server == null) {
            report(CallEvent.NoServer(attempt.attempt))
            return
        }
        var end: AssignmentEnd = AssignmentEnd.Cancelled
        try {
            report(CallEvent.ServerChosen(attempt.attempt, server.record.name))
            recordRouting(requestId, request, attempt, server.record)
            end = exchange(requestId, request, attempt, server, deadline, report)
        } finally {
            selection.ended(server, end)
            node.metrics.attempts
                .labelValues(server.record.service.value, label(end))
                .inc()
        }
    }

    /** Asks the owner of the request's key to void it; returns the event that tells the outcome. */
    suspend fun releaseKey(
        request: ClassifiedRequest,
        release: CallAction.ReleaseKey,
    ): CallEvent {
        val keyed = request.keyed ?: return CallEvent.ReleaseFailed
        val owner =
            node.records
                .server(release.owner) ?: return CallEvent.ReleaseFailed
        val message =
            ReleaseKeyRequest
                .newBuilder()
                .setIdempotencyKey(keyed.key.toString())
                .setKeyRound(release.round)
                .setService(request.identified.request.service.value)
                .setFingerprint(request.fingerprint)
                .build()
        return try {
            val answer = stub(owner).withDeadlineAfter(RELEASE_TIMEOUT_SECONDS, TimeUnit.SECONDS).releaseKey(message)
            CallEvent.ReleaseAnswered(answer.ticketRound.takeIf { answer.notRun })
        } catch (_: StatusException) {
            CallEvent.ReleaseFailed
        }
    }

    // A key is tied to its owner, so the owner is asked even when it is out of service: its agent alone can say that the
    // request has not run.
    private fun server(
        request: ClassifiedRequest,
        attempt: CallAction.SendAttempt,
    ): SelectedServer? {
        val owner = attempt.owner ?: return chosen(request, attempt)
        return node.records
            .server(owner)
            ?.let { SelectedServer(it, assignment = null) }
    }

    // All gateways send a suspect to the same server first, whose agent knows best whether it has crashed the server.
    private fun chosen(
        request: ClassifiedRequest,
        attempt: CallAction.SendAttempt,
    ): SelectedServer? {
        val isolated = node.suspects.executionPolicy(request.fingerprint) is ExecutionPolicy.Isolated
        if (!isolated) return selection.choose(request, attempt.excluded)
        val records = node.records
        val servers =
            records.serversByService[request.identified.request.service].orEmpty().filter(
                records::mayReceiveWork,
            )
        return IsolatedRunPlacement
            .rank(request.fingerprint, servers.map { it.name })
            .firstOrNull { it !in attempt.excluded }
            ?.let(records::server)
            ?.let { SelectedServer(it, assignment = null) }
    }

    private fun recordRouting(
        requestId: String,
        request: ClassifiedRequest,
        attempt: CallAction.SendAttempt,
        server: BackendServerRecord,
    ) {
        val candidates = node.records.serversByService[server.service]
        node.timeline.record(
            TimelineEvent.RequestRouted(
                request = requestId,
                attempt = attempt.attempt,
                service = server.service,
                server = server.name,
                organisation = request.identified.organisation.name,
                candidates = candidates.orEmpty().size,
                tokensInFlight =
                    request.identified.request.cost.total
                        .toLong(),
            ),
        )
    }

    private suspend fun exchange(
        requestId: String,
        request: ClassifiedRequest,
        attempt: CallAction.SendAttempt,
        server: SelectedServer,
        deadline: MonotonicTime,
        report: suspend (CallEvent) -> Unit,
    ): AssignmentEnd {
        val tracer = SendTracer()
        val startedAt = node.clock.monotonic()
        var last: FrameContent? = null
        var firstToken = false
        try {
            val message = message(requestId, request, attempt, deadline)
            val options = CallOptions.DEFAULT.withStreamTracerFactory(tracer)
            stub(server.record, options).execute(message).collect { received ->
                if (received.hasBroken() && received.broken.serverCrashed) noteCrash(received)
                if (received.hasLoad()) received.load.toLoadReport()?.let { observed(server.record, it) }
                val frame = received.toFrame() ?: return@collect
                last = frame.content
                if (!firstToken && frame.content is FrameContent.Chunk) {
                    firstToken = true
                    selection.firstToken(server)
                    val seconds = (node.clock.monotonic() - startedAt).toDouble(DurationUnit.SECONDS)
                    node.metrics.firstToken
                        .labelValues(server.record.service.value)
                        .observe(seconds)
                }
                report(CallEvent.FrameArrived(frame))
            }
        } catch (_: StatusException) {
            val number = attempt.attempt
            report(if (tracer.sent) CallEvent.ConnectionLost(number) else CallEvent.ConnectionFailed(number))
            return AssignmentEnd.Broken
        }
        report(CallEvent.ConnectionLost(attempt.attempt))
        return end(last)
    }

    private fun observed(
        server: BackendServerRecord,
        load: LoadReport,
    ) {
        selection.observed(server, load)
        limits.observed(server.service, server.name, load)
    }

    private fun noteCrash(frame: ExecuteFrame) {
        val agent = Incarnation.parse(frame.incarnation) ?: return
        node.suspects.recordCrash(Crash(agent, frame.broken.suspectsList.toSet(), frame.broken.alone))
    }

    private fun end(last: FrameContent?): AssignmentEnd =
        when (last) {
            is FrameContent.Finished -> AssignmentEnd.Completed
            is FrameContent.NotRun -> AssignmentEnd.NotRun(last.retryAfter)
            is FrameContent.Broken, is FrameContent.Chunk, is FrameContent.Started, null -> AssignmentEnd.Broken
        }

    private fun label(end: AssignmentEnd): String =
        when (end) {
            AssignmentEnd.Completed -> "completed"
            is AssignmentEnd.NotRun -> "not_run"
            AssignmentEnd.Cancelled -> "cancelled"
            AssignmentEnd.Broken -> "broken"
        }

    private fun stub(
        server: BackendServerRecord,
        options: CallOptions = CallOptions.DEFAULT,
    ) = WorkServiceGrpcKt.WorkServiceCoroutineStub(node.channels.channel(server.address), options)

    private fun message(
        requestId: String,
        request: ClassifiedRequest,
        attempt: CallAction.SendAttempt,
        deadline: MonotonicTime,
    ): ExecuteRequest {
        val parsed = request.identified.request
        val organisation = request.identified.organisation
        val timestamp = node.timeline.timestamp()
        return ExecuteRequest
            .newBuilder()
            .setRequestId(requestId)
            .setAttempt(attempt.attempt)
            .setOrganisation(organisation.name.value)
            .setOrganisationWeight(organisation.weight)
            .setPriority(organisation.priority)
            .setService(parsed.service.value)
            .setPromptTokens(parsed.cost.promptTokens)
            .setOutputTokens(parsed.cost.outputTokens)
            .setRemainingMilliseconds((deadline - node.clock.monotonic()).inWholeMilliseconds.coerceAtLeast(0))
            .setRevision(node.records.revision)
            .setIdempotencyKey(
                request.keyed
                    ?.key
                    ?.toString()
                    .orEmpty(),
            ).setKeyRound(attempt.round)
            .setRepeatable(request.kind == WorkKind.REPEATABLE)
            .setMethod(parsed.method)
            .setPath(parsed.path)
            .putAllHeaders(parsed.headers)
            .setBody(UnsafeByteOperations.unsafeWrap(parsed.body))
            .setStream(parsed.stream)
            .setFingerprint(request.fingerprint)
            .setRunAlone(node.suspects.executionPolicy(request.fingerprint) is ExecutionPolicy.Isolated)
            .setResumeAfterTokens(attempt.resumeAfterTokens)
            .setGateway(node.name.value)
            .setClockMilliseconds(timestamp.milliseconds)
            .setClockCounter(timestamp.counter)
            .build()
    }

    private companion object {
        const val RELEASE_TIMEOUT_SECONDS = 2L
    }
}
