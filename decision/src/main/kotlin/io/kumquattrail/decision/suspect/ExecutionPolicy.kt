package io.kumquattrail.decision.suspect

import kotlin.time.Duration

/** Determines how a request is executed. */
sealed interface ExecutionPolicy {
    /** The request shares its server with other requests. */
    data object Normal : ExecutionPolicy

    /** The request runs in isolation: its server runs no other request at the same time. */
    data object Isolated : ExecutionPolicy

    /** The request is refused for [remaining]. */
    data class Blocked(
        val remaining: Duration,
    ) : ExecutionPolicy
}
