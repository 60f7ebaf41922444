package io.kumquattrail.gateway.request

import io.kumquattrail.decision.delivery.KeyedCall
import io.kumquattrail.decision.delivery.WorkKind
import java.security.MessageDigest

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
        val digest = MessageDigest.getInstance("SHA-256")
        val request = identified.request
        listOf(identified.organisation.name.value, request.service.value, request.method, request.path).forEach {
            digest.update(it.toByteArray())
            digest.update(SEPARATOR)
        }
        digest.digest(request.body).joinToString("") { "%02x".format(it) }
    }

    private companion object {
        const val SEPARATOR: Byte = 0
    }
}
