package io.kumquattrail.gateway.request

import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.record.OrganisationRecord
import io.kumquattrail.decision.record.ServiceRecord
import kotlin.time.Duration

/**
 * Holds a request whose syntax was checked.
 *
 * @property path path with query at the backend server.
 * @property stream whether the caller wants server-sent events.
 * @property promptPrefix first part of the prompt, by which servers with a fitting prefix cache are found.
 */
class ParsedRequest(
    val service: ServiceName,
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    val stream: Boolean,
    val cost: TokenCost,
    val timeout: Duration,
    val idempotencyKey: String?,
    val ticket: String?,
    val promptPrefix: String = "",
)

/** Holds a request of a known organisation to a known service. */
class IdentifiedRequest(
    val request: ParsedRequest,
    val organisation: OrganisationRecord,
    val service: ServiceRecord,
)
