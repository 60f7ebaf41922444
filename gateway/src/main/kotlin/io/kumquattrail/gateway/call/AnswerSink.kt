package io.kumquattrail.gateway.call

import io.kumquattrail.decision.refusal.Refusal
import kotlinx.coroutines.Job

/** Writes one answer to a caller. The functions return once the caller's connection takes more. */
interface AnswerSink {
    /** Completes when the caller has closed its connection. */
    val gone: Job

    suspend fun head(
        status: Int,
        headers: Map<String, String>,
    )

    suspend fun body(bytes: ByteArray)

    suspend fun finish()

    /** Answers with [refusal] and nothing else. */
    suspend fun refuse(refusal: Refusal)

    /** Ends an answer that has begun in such a way that the caller sees that it is incomplete. */
    suspend fun breakOff(refusal: Refusal)
}
