package io.kumquattrail.standin

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Answers every request without a body with the bytes of [response], which need not be HTTP. */
class RawHttpService : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Bytes that are sent for each request, one for each character. */
    @Volatile
    var response: String = ""

    /** Host on which the service listens. */
    val host: String get() = listener.inetAddress.hostAddress

    /** Port on which the service listens. */
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.use(::serve) } }
            }
        }
    }

    override fun close() = listener.close()

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (input.readLine() != null) {
            while (!input.readLine().isNullOrEmpty()) continue
            socket.getOutputStream().write(response.toByteArray(Charsets.ISO_8859_1))
        }
    }

    private companion object {
        const val BACKLOG = 50
    }
}
