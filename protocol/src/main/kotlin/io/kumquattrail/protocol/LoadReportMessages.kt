package io.kumquattrail.protocol

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.protocol.v1.LoadReport as LoadReportMessage

/** Converts the report to its message. */
fun LoadReport.toMessage(): LoadReportMessage =
    LoadReportMessage
        .newBuilder()
        .setRunning(running)
        .setQueued(queued)
        .setQueuedTokens(queuedTokens)
        .setConcurrencyLimit(concurrencyLimit)
        .setTokensInFlight(tokensInFlight)
        .setTokenLimit(tokenLimit)
        .setMillisecondsPerToken(millisecondsPerToken)
        .setFirstTokenMilliseconds(firstTokenMilliseconds)
        .setCold(cold)
        .setDraining(draining)
        .setIncarnation(incarnation.toString())
        .setRevision(revision)
        .setPromptTokensWaiting(promptTokensWaiting)
        .build()

/** Converts the message to a report; returns `null` when it names no valid incarnation. */
fun LoadReportMessage.toLoadReport(): LoadReport? {
    val parsed = Incarnation.parse(incarnation) ?: return null
    return LoadReport(
        running = running,
        queued = queued,
        queuedTokens = queuedTokens,
        concurrencyLimit = concurrencyLimit,
        tokensInFlight = tokensInFlight,
        tokenLimit = tokenLimit,
        millisecondsPerToken = millisecondsPerToken,
        firstTokenMilliseconds = firstTokenMilliseconds,
        cold = cold,
        draining = draining,
        incarnation = parsed,
        revision = revision,
        promptTokensWaiting = promptTokensWaiting,
    )
}
