package io.kumquattrail.decision.delivery

import io.kumquattrail.decision.time.MonotonicTime

/** Limits retries, so that failures do not multiply the load on servers that are already overloaded. */
fun interface RetryPermission {
    /** Takes one retry out of the budget; returns `false` if none is left. */
    fun tryAcquire(now: MonotonicTime): Boolean
}
