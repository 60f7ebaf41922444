package io.kumquattrail.protocol

import io.kumquattrail.decision.delivery.Frame
import io.kumquattrail.decision.delivery.FrameContent
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.protocol.v1.ExecuteFrame
import io.kumquattrail.protocol.v1.ExecuteFrame.ContentCase
import kotlin.time.Duration.Companion.milliseconds

private val REASONS: Map<String, RefusalReason> = RefusalReason.entries.associateBy { it.type }

/** Converts the message to a frame; returns `null` when it carries no content that this program knows. */
fun ExecuteFrame.toFrame(): Frame? {
    val sender = Incarnation.parse(incarnation) ?: return null
    val content = content() ?: return null
    return Frame(requestId = requestId, attempt = attempt, incarnation = sender, content = content)
}

private fun ExecuteFrame.content(): FrameContent? =
    when (contentCase) {
        ContentCase.NOT_RUN -> notRunContent()
        ContentCase.STARTED -> FrameContent.Started(status = started.status, headers = started.headersMap)
        ContentCase.CHUNK -> chunkContent()
        ContentCase.FINISHED -> FrameContent.Finished(chunks = finished.chunks)
        ContentCase.BROKEN -> FrameContent.Broken(detail = broken.detail, serverCrashed = broken.serverCrashed)
        ContentCase.CONTENT_NOT_SET, null -> null
    }

private fun ExecuteFrame.notRunContent(): FrameContent.NotRun =
    FrameContent.NotRun(
        reason = REASONS[notRun.reason] ?: RefusalReason.SERVER_FAILED,
        detail = notRun.detail,
        retryAfter = notRun.retryAfterMilliseconds.takeIf { it > 0 }?.milliseconds,
        keyNotRun = notRun.ticketRound > 0,
        ticketRound = notRun.ticketRound.takeIf { it > 0 },
    )

private fun ExecuteFrame.chunkContent(): FrameContent.Chunk =
    FrameContent.Chunk(
        sequence = chunk.sequence,
        tokenOffset = chunk.tokenOffset.takeIf { it >= 0 },
        tokenCount = chunk.tokenCount,
        data = chunk.data.toByteArray(),
    )
