package io.kumquattrail.decision.ratelimit

/** What an answer of a server says about the requests that the server takes from all gateways together. */
sealed interface RateLimitNotice {
    /** The server takes [requestsPerSecond]; 0 for none. */
    data class Limited(
        val requestsPerSecond: Double,
    ) : RateLimitNotice

    /** The server has no limit. */
    data object Unlimited : RateLimitNotice

    companion object {
        private val DECIMAL = Regex("""\d{1,15}(\.\d{1,15})?""")

        /** Parses a limit in requests per second; returns `null` for a text that is not a decimal number of at least 0. */
        fun parse(text: String): Limited? =
            text
                .trim()
                .takeIf(DECIMAL::matches)
                ?.let { Limited(it.toDouble()) }
    }
}
