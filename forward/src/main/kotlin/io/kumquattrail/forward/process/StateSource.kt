package io.kumquattrail.forward.process

import kotlinx.coroutines.CoroutineScope

/** Updates a [GatewayState] with published configurations, evacuations and registered servers. */
fun interface StateSource {
    /** Starts updating the state; the updates stop when [scope] is cancelled. */
    fun start(scope: CoroutineScope)
}
