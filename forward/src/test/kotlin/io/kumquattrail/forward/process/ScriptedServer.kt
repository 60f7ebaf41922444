package io.kumquattrail.forward.process

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request or response as received: its head, including the blank line, and its body. */
class ReceivedMessage(
    val head: String,
    val body: String,
) {
    fun header(name: String): String? =
        head
            .lines()
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
}

/**
 * A backend server on loopback whose responses are the bytes that a script writes.
 *
 * @property respond writes the response to the socket; the connection stays open when it returns `true`.
 */
class ScriptedServer(
    private val respond: (ReceivedMessage, Socket) -> Boolean,
) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val sockets = CopyOnWriteArrayList<Socket>()
    val received = CopyOnWriteArrayList<ReceivedMessage>()
    val port: Int get() = listener.localPort

    /** All connections that clients have opened, including closed ones. */
    val connections: List<Socket> get() = sockets

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                sockets += socket
                thread(isDaemon = true) { serve(socket) }
            }
        }
    }

    /** Waits until [count] requests have arrived. */
    fun awaitRequests(count: Int) {
        while (received.size < count) Thread.sleep(5)
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        socket.use {
            while (true) {
                val request = readMessage(socket.getInputStream()) ?: return
                received += request
                if (!respond(request, socket)) return
            }
        }
    }
}

/** Starts a server that responds to each request with the request's body. */
fun echoServer() =
    ScriptedServer { request, socket ->
        socket.send(response(request, request.body))
        true
    }

/** Reads one request or response with a Content-Length; returns `null` when the connection is closed. */
fun readMessage(input: InputStream): ReceivedMessage? {
    val head = readHead(input) ?: return null
    return ReceivedMessage(head, String(input.readNBytes(bodyLength(head))))
}

/** Reads the head of a request or response; returns `null` when the connection is closed. */
fun readHead(input: InputStream): String? {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val byte = runCatching { input.read() }.getOrDefault(-1)
        if (byte < 0) return null
        head.append(byte.toChar())
    }
    return head.toString()
}

/** Returns the Content-Length of [head] in bytes; 0 without that header. */
fun bodyLength(head: String): Int =
    Regex("(?i)content-length: *(\\d+)")
        .find(head)
        ?.groupValues
        ?.get(1)
        ?.toInt() ?: 0

fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/** Returns a complete response with [body]. */
fun response(
    request: ReceivedMessage,
    body: String,
    status: String = "200 OK",
    requestId: String? = request.header("Request"),
    headers: String = "Signature: s1\r\n",
): String =
    "HTTP/1.1 $status\r\n" + (requestId?.let { "Request: $it\r\n" } ?: "") + headers +
        "Content-Length: ${body.length}\r\n\r\n$body"

/** Returns the head of a response that is a chunked stream of events. */
fun streamHead(request: ReceivedMessage): String =
    "HTTP/1.1 200 OK\r\nRequest: ${request.header("Request")}\r\nSignature: s1\r\n" +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

fun chunk(text: String): String = "${text.length.toString(16)}\r\n$text\r\n"

const val LAST_CHUNK: String = "0\r\n\r\n"
