package io.kumquattrail.decision.catalogue

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime

/**
 * A backend server as it registered itself.
 *
 * @property host IP address.
 * @property slots requests that the server processes at the same time.
 * @property draining whether the server has announced that it is leaving.
 * @property coldUntil time until which the server reports that it is cold, on this process's clock.
 * @property incarnation distinguishes the starts of a server that registers again under the same name; 0 when unknown.
 * @property revision the registry's revision at which the server registered.
 */
data class BackendServer(
    val name: ServerName,
    val service: ServiceName,
    val host: String,
    val port: Int,
    val zone: ZoneName,
    val slots: Int,
    val draining: Boolean = false,
    val coldUntil: MonotonicTime = MonotonicTime(Long.MIN_VALUE),
    val revision: Long = 0,
    val incarnation: Long = 0,
)
