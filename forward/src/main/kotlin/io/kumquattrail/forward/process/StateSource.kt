package io.kumquattrail.forward.process

import kotlinx.coroutines.CoroutineScope

/** Brings what operators publish and which servers are registered into a [GatewayState]. */
fun interface StateSource {
    /** Keeps the state up to date until [scope] ends. */
    fun start(scope: CoroutineScope)
}
