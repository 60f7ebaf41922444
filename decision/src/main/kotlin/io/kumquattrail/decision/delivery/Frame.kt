package io.kumquattrail.decision.delivery

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.refusal.RefusalReason
import kotlin.time.Duration

/**
 * Carries a part of the answer to one attempt.
 *
 * @property incarnation incarnation of the agent that sent the frame.
 */
class Frame(
    val requestId: String,
    val attempt: Int,
    val incarnation: Incarnation,
    val content: FrameContent,
)

/** Lists the contents of frames. */
sealed interface FrameContent {
    /**
     * The attempt was not sent to the server and never will be.
     *
     * @property ticketRound round of the ticket with which the key may run, or `null`.
     * @property keyNotRun whether the key's owner states that no attempt below [ticketRound] has run or can run.
     */
    data class NotRun(
        val reason: RefusalReason,
        val detail: String = "",
        val retryAfter: Duration? = null,
        val ticketRound: Int? = null,
        val keyNotRun: Boolean = false,
    ) : FrameContent

    /** The server has started to answer. */
    data class Started(
        val status: Int,
        val headers: Map<String, String> = emptyMap(),
    ) : FrameContent

    /**
     * Holds bytes of the answer's body.
     *
     * @property sequence position among the attempt's chunks, from 0.
     * @property tokenOffset index of the chunk's first token in the whole answer; `null` for bytes of a plain answer.
     *   A stream with such bytes cannot be resumed after them.
     * @property tokenCount number of tokens in the chunk; 0 for bytes that accompany the tokens.
     */
    class Chunk(
        val sequence: Long,
        val tokenOffset: Int?,
        val tokenCount: Int,
        val data: ByteArray,
    ) : FrameContent

    /** The attempt's answer is complete and has [chunks] chunks. */
    data class Finished(
        val chunks: Long,
    ) : FrameContent

    /** The attempt was sent to the server and will not finish. */
    data class Broken(
        val detail: String = "",
        val serverCrashed: Boolean = false,
    ) : FrameContent
}
