package io.kumquattrail.gateway.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.kumquattrail.decision.delivery.KeyedCall
import io.kumquattrail.decision.delivery.WorkKind
import io.kumquattrail.decision.idempotency.IdempotencyKey
import io.kumquattrail.decision.idempotency.KeyOwnership
import io.kumquattrail.decision.idempotency.Ticket
import io.kumquattrail.decision.idempotency.refusal
import io.kumquattrail.decision.idempotency.server
import io.kumquattrail.decision.record.ServiceKind
import io.kumquattrail.decision.record.ServiceRecord
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.node.configuration.ConfigurationSnapshot

/** Decides from the service's record, the method and the path whether a request may be repeated. */
class CallClassifier(
    private val configuration: () -> ConfigurationSnapshot,
) : RequestFilter<IdentifiedRequest, ClassifiedRequest> {
    override fun apply(input: IdentifiedRequest): Result<ClassifiedRequest, Refusal> {
        val key = input.request.idempotencyKey
        return when {
            mayRepeat(input.service, input.request) -> Ok(ClassifiedRequest(input, WorkKind.REPEATABLE))
            key == null -> Ok(ClassifiedRequest(input, WorkKind.SINGLE))
            else -> keyed(input, key)
        }
    }

    private fun keyed(
        input: IdentifiedRequest,
        text: String,
    ): Result<ClassifiedRequest, Refusal> {
        val key = IdempotencyKey.parse(text).getOrElse { return Err(it.refusal()) }
        val snapshot = configuration()
        val owner = KeyOwnership(snapshot.records).owner(key, input.request.service).server
        val ticket =
            input.request.ticket?.let {
                Ticket.parse(it, key).getOrElse { return Err(malformed("The ticket does not fit the key.")) }
            }
        return when {
            owner == null -> Err(unknownOwner())
            else -> Ok(ClassifiedRequest(input, WorkKind.KEYED, KeyedCall(key, owner, ticket?.round ?: 0)))
        }
    }

    private fun mayRepeat(
        service: ServiceRecord,
        request: ParsedRequest,
    ): Boolean {
        val path = request.path.substringBefore('?')
        val operation =
            service.operations.find { operation ->
                (operation.method == "*" || operation.method.equals(request.method, ignoreCase = true)) &&
                    path.startsWith(operation.pathPrefix)
            }
        return operation?.repeatable ?: (service.kind == ServiceKind.MODEL || request.method in SAFE_METHODS)
    }

    private fun malformed(detail: String) = Refusal(RefusalReason.MALFORMED_REQUEST, RunState.NO, detail)

    // Another gateway may know the generation that covers the key's time and may have sent the request to its owner.
    private fun unknownOwner() =
        Refusal(RefusalReason.KEY_OWNER_UNREACHABLE, RunState.UNKNOWN, "No published owner covers the key's time.")

    private companion object {
        val SAFE_METHODS = setOf("GET", "HEAD", "OPTIONS")
    }
}
