package io.kumquattrail.decision.delivery

import java.util.TreeMap

/**
 * Bounds a [StreamAssembler].
 *
 * @property maximumPendingChunks chunks that wait for an earlier one.
 * @property maximumPendingBytes bytes of chunks that wait for an earlier one.
 * @property heldBytes bytes of a plain answer that are held back until it is complete, so that a broken answer can be
 *   fetched again.
 */
data class AssemblyLimits(
    val maximumPendingChunks: Int = 256,
    val maximumPendingBytes: Int = 256 * 1024,
    val heldBytes: Int = 256 * 1024,
)

/** Says what follows from a frame. */
sealed interface AssemblyResult {
    /**
     * The caller receives [output].
     *
     * @property complete whether the answer ends with [output].
     */
    class Progress(
        val output: List<Output> = emptyList(),
        val complete: Boolean = false,
    ) : AssemblyResult

    /** The attempt cannot yield a correct answer, for example because a frame was lost; [output] is still correct. */
    class Failed(
        val detail: String,
        val output: List<Output> = emptyList(),
    ) : AssemblyResult
}

/** Lists what the caller receives. */
sealed interface Output {
    data class Head(
        val status: Int,
        val headers: Map<String, String>,
    ) : Output

    class Body(
        val data: ByteArray,
    ) : Output
}

/**
 * Builds one caller's answer from the frames of successive attempts.
 *
 * Chunks may arrive doubled and in any order. The caller receives each token once and in order, also when a later
 * attempt resumes after the tokens already written.
 */
class StreamAssembler(
    private val limits: AssemblyLimits = AssemblyLimits(),
) {
    private val pending = TreeMap<Long, FrameContent.Chunk>()
    private val held = mutableListOf<ByteArray>()
    private var pendingBytes = 0
    private var heldBytes = 0
    private var started: FrameContent.Started? = null
    private var writtenHead: FrameContent.Started? = null
    private var nextSequence = 0L
    private var chunks: Long? = null
    private var wrotePlainBytes = false

    /** Number of tokens that the caller has received. */
    var writtenTokens: Int = 0
        private set

    /** Whether the caller has received the answer's status. */
    val hasOutput: Boolean get() = writtenHead != null

    /** Whether another attempt can still complete the answer. */
    val canResume: Boolean get() = !wrotePlainBytes

    /** Forgets what the previous attempt has not yet written, before the frames of the next attempt arrive. */
    fun beginAttempt() {
        pending.clear()
        held.clear()
        pendingBytes = 0
        heldBytes = 0
        started = null
        nextSequence = 0
        chunks = null
    }

    /** Takes in the head of the current attempt's answer. */
    fun accept(started: FrameContent.Started): AssemblyResult {
        if (this.started != null) return AssemblyResult.Progress()
        val written = writtenHead
        if (written != null && written.status != started.status) {
            return AssemblyResult.Failed("The resumed answer has status ${started.status}.")
        }
        this.started = started
        return advance()
    }

    /** Takes in a chunk of the current attempt's answer. */
    fun accept(chunk: FrameContent.Chunk): AssemblyResult {
        if (chunk.sequence < nextSequence || chunk.sequence in pending) return AssemblyResult.Progress()
        pending[chunk.sequence] = chunk
        pendingBytes += chunk.data.size
        val result = advance()
        val overflows = pending.size > limits.maximumPendingChunks || pendingBytes > limits.maximumPendingBytes
        return if (overflows) AssemblyResult.Failed("Too many chunks wait for an earlier one.") else result
    }

    /** Takes in the number of chunks of the current attempt's answer. */
    fun accept(finished: FrameContent.Finished): AssemblyResult {
        if (chunks == null) chunks = finished.chunks
        return advance()
    }

    private fun advance(): AssemblyResult {
        if (started == null) return AssemblyResult.Progress()
        val output = mutableListOf<Output>()
        while (true) {
            val chunk = pending.remove(nextSequence) ?: break
            nextSequence++
            pendingBytes -= chunk.data.size
            if (!append(chunk, output)) {
                val detail = "Token ${chunk.tokenOffset} does not follow token ${writtenTokens - 1}."
                return AssemblyResult.Failed(detail, output)
            }
        }
        val complete = chunks?.let { nextSequence >= it } ?: false
        if (complete || heldBytes > limits.heldBytes) releaseHeld(output)
        if (complete) writeHead(output)
        return AssemblyResult.Progress(output = output, complete = complete)
    }

    /** Appends [chunk] to [output] unless the caller has its tokens; returns `false` when tokens are missing. */
    private fun append(
        chunk: FrameContent.Chunk,
        output: MutableList<Output>,
    ): Boolean {
        val offset = chunk.tokenOffset
        when {
            offset == null && wrotePlainBytes -> {
                output += Output.Body(chunk.data)
            }

            offset == null -> {
                held += chunk.data
                heldBytes += chunk.data.size
            }

            offset == writtenTokens -> {
                releaseHeld(output)
                writeHead(output)
                output += Output.Body(chunk.data)
                writtenTokens += chunk.tokenCount
            }

            // A chunk that straddles the written tokens cannot be divided: its bytes do not show where a token ends.
            offset > writtenTokens || offset + chunk.tokenCount > writtenTokens -> {
                return false
            }
        }
        return true
    }

    private fun releaseHeld(output: MutableList<Output>) {
        if (held.isEmpty()) return
        writeHead(output)
        held.mapTo(output) { Output.Body(it) }
        held.clear()
        heldBytes = 0
        wrotePlainBytes = true
    }

    private fun writeHead(output: MutableList<Output>) {
        val head = started ?: return
        if (writtenHead != null) return
        output += Output.Head(status = head.status, headers = head.headers)
        writtenHead = head
    }
}
