package io.kumquattrail.forward.log

import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

// Lines that wait for the writer. At 200 bytes a line this is 0.8 MB, and a second of lines at 4,000 a second.
private const val QUEUE_LINES = 4_096
private const val INITIAL_LINE_CHARACTERS = 256

/**
 * Writes structured log lines, one JSON object a line, without ever blocking the caller.
 *
 * Lines are written by a thread of their own. When [output] does not keep up, lines are dropped and their number is
 * logged with the next line that gets through, so the volume is bounded.
 *
 * @property wallMilliseconds reads the time that a line carries, in Unix milliseconds.
 */
class EventLog(
    private val output: OutputStream = System.out,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val queue = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val dropped = AtomicLong()
    private val writer = Thread(::writeLines, "event-log").apply { isDaemon = true }

    @Volatile
    private var closed = false

    init {
        writer.start()
    }

    /** Logs [event] with [fields]; `null` values are left out. */
    fun log(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        if (!queue.offer(line(event, fields))) dropped.incrementAndGet()
    }

    /** Logs [event] with [cause], which is named by its type and message. */
    fun failure(
        event: String,
        cause: Throwable,
        vararg fields: Pair<String, Any?>,
    ) = log(event, *fields, "error" to "${cause::class.java.simpleName}: ${cause.message}")

    /** Writes the lines that wait, and stops the writer. */
    override fun close() {
        closed = true
        writer.interrupt()
        writer.join(CLOSE_MILLISECONDS)
    }

    private fun line(
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
                    // close() interrupts the wait so that the remaining lines are written and the thread ends.
                    continue
                }
            val lost = dropped.getAndSet(0)
            if (lost > 0) output.write(line("log_lines_dropped", arrayOf("count" to lost)).toByteArray())
            output.write(line.toByteArray())
            if (queue.isEmpty()) output.flush()
        }
    }

    private companion object {
        // The process ends anyway; a slow reader of the log must not hold it up.
        const val CLOSE_MILLISECONDS = 200L
    }
}
