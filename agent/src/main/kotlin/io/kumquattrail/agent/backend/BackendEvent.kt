package io.kumquattrail.agent.backend

/** Reports what a backend server answers to one call, in order. */
sealed interface BackendEvent {
    /** The status line and the headers arrived. */
    data class Head(
        val status: Int,
        val headers: Map<String, String>,
    ) : BackendEvent

    /** A part of the body arrived. */
    class Body(
        val bytes: ByteArray,
    ) : BackendEvent

    /** The answer is complete. */
    data object End : BackendEvent

    /** No connection was made, so the server did not receive the call. */
    data class NotSent(
        val cause: String,
    ) : BackendEvent

    /** The call may have reached the server and its answer did not arrive whole. */
    data class Lost(
        val cause: String,
    ) : BackendEvent
}

/**
 * Holds one call to a backend server.
 *
 * @property path path with query, starting with `/`.
 */
class BackendCall(
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    val repeatable: Boolean,
)

/**
 * Holds what a backend server says of itself.
 *
 * @property incarnation changes when the server restarts; empty when the server does not tell.
 * @property running requests that the server runs now.
 */
data class BackendStatus(
    val incarnation: String,
    val running: Int,
)
