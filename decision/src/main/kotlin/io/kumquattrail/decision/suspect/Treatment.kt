package io.kumquattrail.decision.suspect

import kotlin.time.Duration

/** Determines how a request is executed. */
sealed interface Treatment {
    /** The request shares its server with other requests. */
    data object Normal : Treatment

    /** The request runs in isolation: its server runs no other request at the same time. */
    data object Alone : Treatment

    /** The request is refused for [remaining]. */
    data class Blocked(
        val remaining: Duration,
    ) : Treatment
}
