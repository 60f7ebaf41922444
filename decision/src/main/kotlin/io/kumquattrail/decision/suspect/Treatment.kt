package io.kumquattrail.decision.suspect

import kotlin.time.Duration

/** Says how a request runs. */
sealed interface Treatment {
    /** The request runs beside others. */
    data object Normal : Treatment

    /** The request runs with no other request on the server. */
    data object Alone : Treatment

    /** The request is refused for [remaining]. */
    data class Blocked(
        val remaining: Duration,
    ) : Treatment
}
