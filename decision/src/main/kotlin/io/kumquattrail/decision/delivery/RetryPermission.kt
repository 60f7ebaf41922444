package io.kumquattrail.decision.delivery

import io.kumquattrail.decision.time.MonotonicTime

/** Grants retries, so that failures do not multiply the load on a path that is already overloaded. */
fun interface RetryPermission {
    /** Takes one retry out of the budget, or returns `false` when none is left. */
    fun tryAcquire(now: MonotonicTime): Boolean
}
