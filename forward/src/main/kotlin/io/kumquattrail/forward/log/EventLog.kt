package io.kumquattrail.forward.log

import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

// Queue capacity: 0.8 MB at 200 bytes per line, and one second of output at 4,000 lines per second.
private const val MAXIMUM_QUEUED_LINES = 4_096
private const val INITIAL_LINE_CHARACTERS = 256

/**
 * Writes structured log lines, one JSON object per line, without blocking the calling thread.
 *
 * A dedicated thread writes the queued lines. When [output] is too slow, new lines are dropped and their number is
 * logged before the next line that is written, so memory use and log volume are bounded.
 *
 * @property wallMilliseconds returns the timestamp of a line, in Unix milliseconds.
 */
class EventLog(
    private val output: OutputStream = System.out,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val queue = ArrayBlockingQueue<String>(MAXIMUM_QUEUED_LINES)
    private val droppedLines = AtomicLong()
    private val writer = Thread(::writeLines, "event-log").apply { isDaemon = true }

    @Volatile
    private var closed = false

    init {
        writer.start()
    }

    /** Logs [event] with [fields]; fields with `null` values are omitted. */
    fun log(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        if (!queue.offer(formatLine(event, fields))) droppedLines.incrementAndGet()
    }

    /** Logs [event] with [fields] and an `error` field that holds the type and the message of [cause]. */
    fun failure(
        event: String,
        cause: Throwable,
        vararg fields: Pair<String, Any?>,
    ) = log(event, *fields, "error" to "${cause::class.java.simpleName}: ${cause.message}")

    /** Writes the queued lines and stops the writer thread; waits for at most 200 ms. */
    override fun close() {
        closed = true
        writer.interrupt()
        writer.join(CLOSE_TIMEOUT_MILLISECONDS)
    }

    private fun formatLine(
        event: String,
        fields: Array<out Pair<String, Any?>>,
    ): String =
        buildString(INITIAL_LINE_CHARACTERS) {
            append("{\"time_ms\":")
                .append(wallMilliseconds())
                .append(",\"event\":\"")
                .append(event)
                .append('"')
            fields.forEach { (name, value) ->
                if (value == null) return@forEach
                append(",\"").append(name).append("\":")
                when (value) {
                    is Number, is Boolean -> append(value)
                    else -> appendQuoted(value.toString())
                }
            }
            append("}\n")
        }

    private fun StringBuilder.appendQuoted(text: String) {
        append('"')
        text.forEach { character ->
            when {
                character == '"' || character == '\\' -> append('\\').append(character)
                character < ' ' -> append(' ')
                else -> append(character)
            }
        }
        append('"')
    }

    private fun writeLines() {
        while (true) {
            val line =
                try {
                    if (closed) queue.poll() ?: return else queue.take()
                } catch (_: InterruptedException) {
                    // close() interrupts take(), so that the remaining lines are written and the thread ends.
                    continue
                }
            val count = droppedLines.getAndSet(0)
            if (count > 0) output.write(formatLine("log_lines_dropped", arrayOf("count" to count)).toByteArray())
            output.write(line.toByteArray())
            if (queue.isEmpty()) output.flush()
        }
    }

    private companion object {
        // The process is about to exit; a slow consumer of the log must not delay it.
        const val CLOSE_TIMEOUT_MILLISECONDS = 200L
    }
}
