package io.kumquattrail.gateway.request

import io.kumquattrail.decision.delivery.KeyedCall
import io.kumquattrail.decision.delivery.WorkKind
import io.kumquattrail.decision.suspect.RequestFingerprint

/** Holds a request together with how often it may be sent. */
class ClassifiedRequest(
    val identified: IdentifiedRequest,
    val kind: WorkKind,
    val keyed: KeyedCall? = null,
) {
    /**
     * Digest of organisation, service, method, path and body. Requests of different organisations never share one, so a
     * key never returns the answer of another organisation.
     */
    val fingerprint: String by lazy {
        val request = identified.request
        RequestFingerprint.digest(
            parts = listOf(identified.organisation.name.value, request.service.value, request.method, request.path),
            body = request.body,
        )
    }
}
