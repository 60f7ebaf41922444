package io.kumquattrail.gateway.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.record.OrganisationRecord
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import java.security.MessageDigest

/**
 * Finds the organisation on whose behalf a request was sent.
 *
 * The bearer token decides where the organisation's record lists token digests; otherwise the header `X-Organisation`.
 */
class OrganisationIdentifier(
    private val records: () -> RecordSet,
) {
    private var indexed: RecordSet? = null
    private var byDigest: Map<String, OrganisationRecord> = emptyMap()

    fun identify(headers: Map<String, String>): Result<OrganisationRecord, Refusal> {
        val named = headers[ORGANISATION_HEADER]?.let { records().organisation(OrganisationName(it)) }
        val byToken = headers[AUTHORIZATION_HEADER]?.let(::organisationOfToken)
        val organisation = byToken ?: named?.takeIf { it.bearerTokens.isEmpty() }
        return when {
            organisation != null && (named == null || named.name == organisation.name) -> Ok(organisation)
            else -> Err(Refusal(RefusalReason.UNKNOWN_ORGANISATION, RunState.NO, DETAIL))
        }
    }

    private fun organisationOfToken(authorization: String): OrganisationRecord? {
        if (!authorization.startsWith(BEARER_PREFIX, ignoreCase = true)) return null
        return index()[sha256(authorization.drop(BEARER_PREFIX.length).trim())]
    }

    private fun index(): Map<String, OrganisationRecord> {
        val current = records()
        if (indexed !== current) {
            byDigest =
                current.records.values
                    .filterIsInstance<OrganisationRecord>()
                    .flatMap { organisation -> organisation.bearerTokens.map { it to organisation } }
                    .toMap()
            indexed = current
        }
        return byDigest
    }

    companion object {
        private const val ORGANISATION_HEADER = "x-organisation"
        private const val AUTHORIZATION_HEADER = "authorization"
        private const val BEARER_PREFIX = "Bearer "
        private const val DETAIL = "Name a published organisation in X-Organisation or by its bearer token."

        /** Returns the SHA-256 digest of [text] in hexadecimal, as organisation records list it. */
        fun sha256(text: String): String =
            MessageDigest
                .getInstance("SHA-256")
                .digest(text.toByteArray())
                .joinToString("") { "%02x".format(it) }
    }
}
