package io.kumquattrail.agent.work

import com.google.protobuf.ByteString
import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.protocol.toMessage
import io.kumquattrail.protocol.v1.Broken
import io.kumquattrail.protocol.v1.Chunk
import io.kumquattrail.protocol.v1.ExecuteFrame
import io.kumquattrail.protocol.v1.ExecuteRequest
import io.kumquattrail.protocol.v1.Finished
import io.kumquattrail.protocol.v1.NotRun
import io.kumquattrail.protocol.v1.Started
import kotlin.time.Duration

/** Builds the frames that answer [request], each marked with request, attempt and incarnation. */
internal class FrameFactory(
    private val request: ExecuteRequest,
    private val incarnation: Incarnation,
    private val load: () -> LoadReport,
) {
    private var chunks = 0L

    /** States that the attempt did not run; [ticketRound] is given when its key is voided. */
    fun notRun(
        reason: RefusalReason,
        detail: String = "",
        retryAfter: Duration? = null,
        ticketRound: Int? = null,
    ): ExecuteFrame =
        frame()
            .setNotRun(
                NotRun
                    .newBuilder()
                    .setReason(reason.type)
                    .setDetail(detail)
                    .setRetryAfterMilliseconds(retryAfter?.inWholeMilliseconds ?: 0)
                    .setTicketRound(ticketRound ?: 0),
            ).setLoad(load().toMessage())
            .build()

    fun started(
        status: Int,
        headers: Map<String, String>,
    ): ExecuteFrame =
        frame()
            .setStarted(Started.newBuilder().setStatus(status).putAllHeaders(headers))
            .setLoad(load().toMessage())
            .build()

    fun chunk(
        bytes: ByteArray,
        tokenOffset: Int = -1,
        tokenCount: Int = 0,
    ): ExecuteFrame =
        frame()
            .setChunk(
                Chunk
                    .newBuilder()
                    .setSequence(chunks++)
                    .setTokenOffset(tokenOffset)
                    .setTokenCount(tokenCount)
                    .setData(ByteString.copyFrom(bytes)),
            ).build()

    fun finished(): ExecuteFrame =
        frame().setFinished(Finished.newBuilder().setChunks(chunks)).setLoad(load().toMessage()).build()

    fun broken(
        detail: String,
        serverCrashed: Boolean = false,
        suspects: List<String> = emptyList(),
        alone: Boolean = false,
    ): ExecuteFrame =
        frame()
            .setBroken(
                Broken
                    .newBuilder()
                    .setDetail(detail)
                    .setServerCrashed(serverCrashed)
                    .addAllSuspects(suspects)
                    .setAlone(alone),
            ).setLoad(load().toMessage())
            .build()

    private fun frame(): ExecuteFrame.Builder =
        ExecuteFrame
            .newBuilder()
            .setRequestId(request.requestId)
            .setAttempt(request.attempt)
            .setIncarnation(incarnation.toString())
}
