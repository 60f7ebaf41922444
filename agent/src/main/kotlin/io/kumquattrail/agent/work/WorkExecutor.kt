package io.kumquattrail.agent.work

import io.kumquattrail.agent.backend.BackendCall
import io.kumquattrail.agent.backend.BackendClient
import io.kumquattrail.agent.backend.BackendEvent
import io.kumquattrail.agent.backend.EventStreamSplitter
import io.kumquattrail.decision.admission.AdmissionEvent
import io.kumquattrail.decision.admission.HandBackCause
import io.kumquattrail.decision.admission.SendDecision
import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.admission.WorkOutcome
import io.kumquattrail.decision.idempotency.BeginResult
import io.kumquattrail.decision.idempotency.StoredAnswer
import io.kumquattrail.decision.idempotency.refusal
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.decision.suspect.Crash
import io.kumquattrail.decision.suspect.ExecutionPolicy
import io.kumquattrail.decision.timeline.KeyDecision
import io.kumquattrail.decision.timeline.TimelineEvent
import io.kumquattrail.node.NodeRuntime
import io.kumquattrail.protocol.v1.ExecuteFrame
import io.kumquattrail.protocol.v1.ExecuteRequest
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs attempts at the backend server: key table, admission, sending, and the frames of the answer.
 */
class WorkExecutor(
    private val node: NodeRuntime,
    private val server: ServerName,
    private val admissions: AdmissionGate,
    private val keys: KeyGate,
    private val backend: BackendClient,
) {
    private val incarnation = node.incarnation
    private val clock = node.clock
    private val timeline = node.timeline
    private val fingerprintsInFlight = ConcurrentHashMap<WorkId, String>()

    /** Runs one attempt; cancelling the collection cancels repeatable work only. */
    fun execute(request: ExecuteRequest): Flow<ExecuteFrame> =
        flow {
            timeline.observe(request.clockMilliseconds, request.clockCounter)
            val frames = Channel<ExecuteFrame>(FRAME_BUFFER)
            val job = launchAttempt(request, frames)
            try {
                frames.consumeEach { emit(it) }
            } finally {
                if (request.repeatable) job.cancel()
            }
        }

    private fun launchAttempt(
        request: ExecuteRequest,
        frames: Channel<ExecuteFrame>,
    ): Job =
        // The node's scope outlives the call, so that unrepeatable work ends and its answer is kept when the gateway dies.
        node.scope.launch {
            val attempt = Attempt(request, FrameFactory(request, incarnation, admissions::loadReport), frames)
            try {
                if (request.idempotencyKey.isEmpty()) attempt.admitAndRun(round = null) else attempt.beginKey()
            } finally {
                frames.close()
            }
        }

    private inner class Attempt(
        private val request: ExecuteRequest,
        private val factory: FrameFactory,
        private val frames: SendChannel<ExecuteFrame>,
    ) {
        private val id = WorkId(request.requestId, request.attempt)
        private val policy = node.suspects.executionPolicy(request.fingerprint)
        private val runAlone = request.runAlone || policy is ExecutionPolicy.Isolated
        private val answer = AnswerBuffer()
        private val splitter = EventStreamSplitter()
        private var status = 0
        private var headers = emptyMap<String, String>()
        private var tokens = request.resumeAfterTokens
        private var isEventStream = false

        suspend fun beginKey() {
            val service = ServiceName(request.service)
            // A key issued for another service names this agent as its owner, and this server must not run the request.
            if (node.records.server(server)?.service != service) {
                return send(factory.notRun(RefusalReason.KEY_NOT_SUPPORTED, "The key belongs to another service."))
            }
            val begun = keys.begin(request.idempotencyKey, service, request.keyRound, request.fingerprint)
            begun?.let(::recordKeyDecision)
            when (begun) {
                null -> send(factory.notRun(RefusalReason.KEY_NOT_SUPPORTED))
                is BeginResult.Run -> admitAndRun(begun.round)
                is BeginResult.Replay -> replay(begun.answer)
                is BeginResult.Voided -> refuse(begun, begun.ticket.round)
                else -> refuse(begun, ticketRound = null)
            }
        }

        suspend fun admitAndRun(round: Int?) {
            var sent = false
            try {
                val expected = Incarnation.parse(request.expectedIncarnation)
                when (val admission = admissions.admit(workItem(), expected)) {
                    is Admission.HandedBack -> {
                        sendNotRun(round, admission.action.reason, admission.action.cause, admission.action.retryAfter)
                    }

                    Admission.Duplicate -> {
                        sent = true
                        send(factory.broken("the attempt was received twice"))
                    }

                    Admission.Granted -> {
                        val blocked = node.suspects.executionPolicy(request.fingerprint) as? ExecutionPolicy.Blocked
                        if (blocked != null) {
                            admissions.report(AdmissionEvent.WorkWithdrawn(id))
                            return sendBlocked(round, blocked)
                        }
                        when (val decision = admissions.recheck(id)) {
                            is SendDecision.Send -> {
                                sent = true
                                run(round)
                            }

                            is SendDecision.Denied -> {
                                sendNotRun(round, RefusalReason.OVERLOADED, HandBackCause.SEND_DELAYED)
                            }

                            SendDecision.NotGranted -> {
                                sendNotRun(round, RefusalReason.OVERLOADED, HandBackCause.SEND_DELAYED)
                            }
                        }
                    }
                }
            } finally {
                if (!sent && round != null) keys.failedBeforeSending(request.idempotencyKey, round)
            }
        }

        private fun recordKeyDecision(result: BeginResult) {
            val decision =
                when (result) {
                    is BeginResult.Run -> KeyDecision.RUN
                    is BeginResult.Replay -> KeyDecision.STORED_RESPONSE
                    BeginResult.InProgress -> KeyDecision.IN_PROGRESS
                    is BeginResult.Voided -> KeyDecision.VOIDED
                    BeginResult.OtherBody -> KeyDecision.REFUSED
                    is BeginResult.Unknown, BeginResult.OtherIncarnation -> KeyDecision.UNKNOWN
                }
            val key = request.idempotencyKey
            timeline.record(TimelineEvent.KeyDecided(key, request.requestId, decision, request.keyRound))
        }

        private suspend fun refuse(
            result: BeginResult,
            ticketRound: Int?,
        ) {
            val refusal = result.refusal() ?: return
            send(factory.notRun(refusal.reason, refusal.detail, refusal.retryAfter, ticketRound))
        }

        private suspend fun sendNotRun(
            round: Int?,
            reason: RefusalReason,
            cause: HandBackCause,
            retryAfter: Duration? = null,
        ) {
            val ticket = round?.let { keys.failedBeforeSending(request.idempotencyKey, it) }
            timeline.record(TimelineEvent.AttemptRefused(id.requestId, id.attempt, server, reason, RunState.NO))
            val detail = "The agent handed the request back: ${cause.name.lowercase().replace('_', ' ')}."
            send(factory.notRun(reason, detail, retryAfter, ticket?.round))
        }

        private suspend fun sendBlocked(
            round: Int?,
            blocked: ExecutionPolicy.Blocked,
        ) {
            val ticket = round?.let { keys.failedBeforeSending(request.idempotencyKey, it) }
            val reason = RefusalReason.REQUEST_CRASHES_SERVERS
            send(factory.notRun(reason, CRASH_DETAIL, blocked.remaining, ticket?.round))
        }

        private suspend fun run(round: Int?) {
            fingerprintsInFlight[id] = request.fingerprint
            var outcome = WorkOutcome.CANCELLED
            var notSent = false
            try {
                backend.send(backendCall()).collect { event ->
                    when (event) {
                        is BackendEvent.Head -> {
                            begin(event)
                        }

                        is BackendEvent.Body -> {
                            forward(event.bytes)
                        }

                        BackendEvent.End -> {
                            outcome =
                                if (isServerError(status)) WorkOutcome.FAILED else WorkOutcome.COMPLETED
                        }

                        is BackendEvent.NotSent -> {
                            notSent = true
                        }

                        is BackendEvent.Lost -> {
                            outcome = WorkOutcome.BROKEN
                        }
                    }
                }
            } finally {
                finish(round, outcome, notSent)
            }
        }

        private suspend fun begin(head: BackendEvent.Head) {
            status = head.status
            headers = head.headers.filterKeys { it !in HOP_BY_HOP_HEADERS }
            // A server may answer a request for a stream with an error document.
            isEventStream = request.stream && head.headers["content-type"].orEmpty().startsWith(EVENT_STREAM)
            if (!isEventStream) admissions.report(AdmissionEvent.FirstToken(id))
            send(factory.started(status, headers))
        }

        private suspend fun forward(bytes: ByteArray) {
            if (request.idempotencyKey.isNotEmpty()) answer.add(bytes)
            if (!isEventStream) return send(factory.chunk(bytes))
            splitter.add(bytes).forEach { event ->
                if (isToken(event)) {
                    if (tokens == request.resumeAfterTokens) admissions.report(AdmissionEvent.FirstToken(id))
                    send(factory.chunk(event, tokenOffset = tokens, tokenCount = 1))
                    tokens += 1
                } else {
                    // Every chunk of a token stream has an offset; without one the stream could not be resumed.
                    send(factory.chunk(event, tokenOffset = tokens))
                }
            }
        }

        private suspend fun end(): WorkOutcome {
            val rest = splitter.takePending()
            if (rest.isNotEmpty()) send(factory.chunk(rest, tokenOffset = tokens))
            return if (isServerError(status)) WorkOutcome.FAILED else WorkOutcome.COMPLETED
        }

        private suspend fun finish(
            round: Int?,
            outcome: WorkOutcome,
            notSent: Boolean,
        ) {
            val crashed = outcome == WorkOutcome.BROKEN
            val suspects = if (crashed) fingerprintsInFlight.values.toSet() else emptySet()
            if (crashed) node.suspects.recordCrash(Crash(incarnation, suspects, isolated = runAlone))
            if (outcome == WorkOutcome.COMPLETED) node.suspects.recordCompletion(request.fingerprint)
            fingerprintsInFlight.remove(id)
            if (isEventStream) admissions.report(AdmissionEvent.OutputProgress(id, tokens - request.resumeAfterTokens))
            admissions.report(if (notSent) AdmissionEvent.NotConnected(id) else AdmissionEvent.WorkEnded(id, outcome))
            val ticketRound = round?.let { settleKey(it, outcome, notSent) }
            val frame =
                when {
                    notSent -> {
                        factory.notRun(
                            RefusalReason.NO_SERVER_AVAILABLE,
                            "the backend server refused the connection",
                            ticketRound = ticketRound,
                        )
                    }

                    crashed -> {
                        factory.broken("the connection to the backend server broke", true, suspects.toList(), runAlone)
                    }

                    outcome == WorkOutcome.CANCELLED -> {
                        factory.broken("the attempt was cancelled")
                    }

                    else -> {
                        factory.finished()
                    }
                }
            frames.trySend(frame).takeIf { it.isSuccess } ?: send(frame)
        }

        private fun settleKey(
            round: Int,
            outcome: WorkOutcome,
            notSent: Boolean,
        ): Int? {
            val key = request.idempotencyKey
            when {
                notSent -> {
                    return keys.failedBeforeSending(key, round)?.round
                }

                answer.overflowed -> {
                    keys.failedAfterSending(key, round)
                }

                outcome == WorkOutcome.COMPLETED || outcome == WorkOutcome.FAILED -> {
                    keys.complete(key, round, StoredAnswer(status, headers, answer.bytes()))
                }

                else -> {
                    keys.failedAfterSending(key, round)
                }
            }
            return null
        }

        private suspend fun replay(stored: StoredAnswer) {
            send(factory.started(stored.status, stored.headers))
            send(factory.chunk(stored.body))
            send(factory.finished())
        }

        // A gateway that went away has closed the channel; unrepeatable work goes on without it.
        private suspend fun send(frame: ExecuteFrame) {
            try {
                frames.send(frame)
            } catch (_: kotlinx.coroutines.channels.ClosedSendChannelException) {
                return
            } catch (exception: kotlinx.coroutines.CancellationException) {
                if (request.repeatable) throw exception
            }
        }

        private fun workItem(): WorkItem =
            WorkItem(
                id = id,
                organisation = OrganisationName(request.organisation),
                cost = TokenCost(request.promptTokens, request.outputTokens),
                deadline = clock.monotonic() + request.remainingMilliseconds.milliseconds,
                organisationWeight = request.organisationWeight.coerceAtLeast(1),
                priority = request.priority,
                fingerprint = request.fingerprint,
                runAlone = runAlone,
            )

        private fun backendCall(): BackendCall {
            val resume =
                if (request.resumeAfterTokens > 0) {
                    mapOf(RESUME_HEADER to request.resumeAfterTokens.toString())
                } else {
                    emptyMap()
                }
            return BackendCall(
                method = request.method,
                path = request.path,
                headers = request.headersMap + resume,
                body = request.body.toByteArray(),
                repeatable = request.repeatable,
            )
        }
    }

    /** Keeps the answer to a keyed request, up to a bound; a larger answer reaches its caller and is not kept. */
    private class AnswerBuffer {
        private val bytes = ByteArrayOutputStream()

        var overflowed = false
            private set

        fun add(part: ByteArray) {
            overflowed = overflowed || bytes.size() + part.size > LARGEST_KEPT_ANSWER_BYTES
            if (overflowed) bytes.reset() else bytes.write(part)
        }

        fun bytes(): ByteArray = bytes.toByteArray()
    }

    private companion object {
        const val FRAME_BUFFER = 64
        const val LARGEST_KEPT_ANSWER_BYTES = 1 shl 20
        const val EVENT_STREAM = "text/event-stream"
        const val FIRST_SERVER_ERROR = 500
        const val CRASH_DETAIL = "The request crashed backend servers that ran it."
        const val RESUME_HEADER = "X-Resume-After-Tokens"
        val HOP_BY_HOP_HEADERS =
            setOf("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te")
        val END_OF_STREAM = "data: [DONE]".toByteArray()

        fun isServerError(status: Int): Boolean = status >= FIRST_SERVER_ERROR

        fun isToken(event: ByteArray): Boolean =
            !(event.size >= END_OF_STREAM.size && END_OF_STREAM.indices.all { event[it] == END_OF_STREAM[it] })
    }
}
