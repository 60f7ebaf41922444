package io.kumquattrail.decision.delivery

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.refusal.RefusalReason
import kotlin.time.Duration

/**
 * Part of an agent's response to one attempt.
 *
 * @property incarnation incarnation of the agent that sent the frame.
 */
class Frame(
    val requestId: String,
    val attempt: Int,
    val incarnation: Incarnation,
    val content: FrameContent,
)

/** Content of a [Frame]. */
sealed interface FrameContent {
    /**
     * The attempt was not sent to the server and never will be.
     *
     * @property ticketRound round of the ticket with which a request with the key may run, or `null` if there is none.
     * @property keyNotRun whether the key's owner guarantees that no attempt whose round is lower than [ticketRound]
     *   has run or can run; `false` without a [ticketRound].
     */
    data class NotRun(
        val reason: RefusalReason,
        val detail: String = "",
        val retryAfter: Duration? = null,
        val ticketRound: Int? = null,
        val keyNotRun: Boolean = false,
    ) : FrameContent

    /** The server has started to respond. */
    data class Started(
        val status: Int,
        val headers: Map<String, String> = emptyMap(),
    ) : FrameContent

    /**
     * Bytes of the response body.
     *
     * @property sequence position among the attempt's chunks, from 0.
     * @property tokenOffset index of the chunk's first token in the whole response; `null` for bytes without a token
     *   index, as in a plain response. Once such bytes have been written to the caller, no other attempt can resume
     *   the response.
     * @property tokenCount number of tokens in the chunk; 0 for bytes that belong to no token.
     */
    class Chunk(
        val sequence: Long,
        val tokenOffset: Int?,
        val tokenCount: Int,
        val data: ByteArray,
    ) : FrameContent

    /** The response to the attempt is complete and has [chunks] chunks. */
    data class Finished(
        val chunks: Long,
    ) : FrameContent

    /** The attempt was sent to the server, and its response will not be completed. */
    data class Broken(
        val detail: String = "",
        val serverCrashed: Boolean = false,
    ) : FrameContent
}
