package io.kumquattrail.decision.delivery

import java.util.TreeMap

/**
 * Limits of the memory that a [StreamAssembler] uses.
 *
 * @property maximumPendingChunks largest number of chunks that wait for an earlier one.
 * @property maximumPendingBytes largest total size of chunks that wait for an earlier one, in bytes.
 * @property maximumBufferedBytes size up to which a plain response is buffered until it is complete, in bytes, so
 *   that an incomplete response can be requested again.
 */
data class AssemblyLimits(
    val maximumPendingChunks: Int = 256,
    val maximumPendingBytes: Int = 256 * 1024,
    val maximumBufferedBytes: Int = 256 * 1024,
)

/** Result of processing a frame. */
sealed interface AssemblyResult {
    /**
     * The frame was processed, and [output] must be written to the caller.
     *
     * @property complete whether the response is complete after [output].
     */
    class Progress(
        val output: List<Output> = emptyList(),
        val complete: Boolean = false,
    ) : AssemblyResult

    /** The attempt cannot yield a correct response, for example because a frame was lost; [output] is still correct. */
    class Failed(
        val detail: String,
        val output: List<Output> = emptyList(),
    ) : AssemblyResult
}

/** Part of a response, to be written to the caller. */
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
 * Assembles the response to one caller from the frames of successive attempts.
 *
 * Chunks may arrive more than once and in any order. The caller receives each token once and in order, even if a later
 * attempt resumes after the tokens already written.
 */
class StreamAssembler(
    private val limits: AssemblyLimits = AssemblyLimits(),
) {
    private val pending = TreeMap<Long, FrameContent.Chunk>()
    private val buffered = mutableListOf<ByteArray>()
    private var pendingBytes = 0
    private var bufferedBytes = 0
    private var started: FrameContent.Started? = null
    private var writtenHead: FrameContent.Started? = null
    private var nextSequence = 0L
    private var chunkCount: Long? = null
    private var wrotePlainBytes = false

    /** Number of tokens written to the caller. */
    var writtenTokens: Int = 0
        private set

    /** Whether the response's status has been written to the caller. */
    val isHeadWritten: Boolean get() = writtenHead != null

    /** Whether another attempt can still complete the response. */
    val canResume: Boolean get() = !wrotePlainBytes

    /** Discards the unwritten frames of the previous attempt, before those of the next attempt arrive. */
    fun beginAttempt() {
        pending.clear()
        buffered.clear()
        pendingBytes = 0
        bufferedBytes = 0
        started = null
        nextSequence = 0
        chunkCount = null
    }

    /** Processes the head of the response to the current attempt. */
    fun accept(started: FrameContent.Started): AssemblyResult {
        if (this.started != null) return AssemblyResult.Progress()
        val written = writtenHead
        if (written != null && written.status != started.status) {
            return AssemblyResult.Failed("The resumed answer has status ${started.status}.")
        }
        this.started = started
        return advance()
    }

    /** Processes a chunk of the response to the current attempt. */
    fun accept(chunk: FrameContent.Chunk): AssemblyResult {
        if (chunk.sequence < nextSequence || chunk.sequence in pending) return AssemblyResult.Progress()
        pending[chunk.sequence] = chunk
        pendingBytes += chunk.data.size
        val result = advance()
        val overflows = pending.size > limits.maximumPendingChunks || pendingBytes > limits.maximumPendingBytes
        return if (overflows) AssemblyResult.Failed("Too many chunks wait for an earlier one.") else result
    }

    /** Processes the end of the response to the current attempt, which states its number of chunks. */
    fun accept(finished: FrameContent.Finished): AssemblyResult {
        if (chunkCount == null) chunkCount = finished.chunks
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
        val complete = chunkCount?.let { nextSequence >= it } ?: false
        if (complete || bufferedBytes > limits.maximumBufferedBytes) writeBuffered(output)
        if (complete) writeHead(output)
        return AssemblyResult.Progress(output = output, complete = complete)
    }

    /**
     * Appends [chunk] to [output] unless its tokens are already written.
     *
     * Returns `false` if tokens before the chunk are missing, or if only some of its tokens are written.
     */
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
                buffered += chunk.data
                bufferedBytes += chunk.data.size
            }

            offset == writtenTokens -> {
                writeBuffered(output)
                writeHead(output)
                output += Output.Body(chunk.data)
                writtenTokens += chunk.tokenCount
            }

            // A chunk that straddles the written tokens cannot be split: its bytes do not show where a token ends.
            offset > writtenTokens || offset + chunk.tokenCount > writtenTokens -> {
                return false
            }
        }
        return true
    }

    private fun writeBuffered(output: MutableList<Output>) {
        if (buffered.isEmpty()) return
        writeHead(output)
        buffered.mapTo(output) { Output.Body(it) }
        buffered.clear()
        bufferedBytes = 0
        wrotePlainBytes = true
    }

    private fun writeHead(output: MutableList<Output>) {
        val head = started ?: return
        if (writtenHead != null) return
        output += Output.Head(status = head.status, headers = head.headers)
        writtenHead = head
    }
}
