package io.kumquattrail.gateway.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState

/** Finds the records of a request's organisation and service. */
class RequestIdentifier(
    private val records: () -> RecordSet,
    private val organisations: OrganisationIdentifier = OrganisationIdentifier(records),
) : RequestFilter<RequestIdentifier.Input, IdentifiedRequest> {
    /** Pairs a parsed request with all headers, of which only some are forwarded. */
    class Input(
        val request: ParsedRequest,
        val headers: Map<String, String>,
    )

    override fun apply(input: Input): Result<IdentifiedRequest, Refusal> {
        val service = records().service(input.request.service)
        if (service == null) {
            val detail = "No service is published under the name ${input.request.service.value.take(SHOWN_CHARACTERS)}."
            return Err(Refusal(RefusalReason.UNKNOWN_SERVICE, RunState.NO, detail))
        }
        return organisations.identify(input.headers).map { IdentifiedRequest(input.request, it, service) }
    }

    private companion object {
        const val SHOWN_CHARACTERS = 100
    }
}
