package io.kumquattrail.agent.work

import io.grpc.Status
import io.grpc.StatusException
import io.kumquattrail.decision.idempotency.ReleaseResult
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.protocol.toMessage
import io.kumquattrail.protocol.v1.ExecuteFrame
import io.kumquattrail.protocol.v1.ExecuteRequest
import io.kumquattrail.protocol.v1.IssueKeysRequest
import io.kumquattrail.protocol.v1.IssueKeysResponse
import io.kumquattrail.protocol.v1.LoadReport
import io.kumquattrail.protocol.v1.ProbeRequest
import io.kumquattrail.protocol.v1.ReleaseKeyRequest
import io.kumquattrail.protocol.v1.ReleaseKeyResponse
import io.kumquattrail.protocol.v1.WorkServiceGrpcKt
import kotlinx.coroutines.flow.Flow

/** Serves work requests of gateways. */
class WorkRpc(
    private val service: () -> ServiceName?,
    private val executor: WorkExecutor,
    private val admissions: AdmissionGate,
    private val keys: KeyGate,
) : WorkServiceGrpcKt.WorkServiceCoroutineImplBase() {
    override fun execute(request: ExecuteRequest): Flow<ExecuteFrame> = executor.execute(request)

    override suspend fun issueKeys(request: IssueKeysRequest): IssueKeysResponse {
        if (request.service != service()?.value) throw failure(Status.FAILED_PRECONDITION, "other service")
        if (request.count !in 1..MOST_KEYS) throw failure(Status.INVALID_ARGUMENT, "count outside 1 to $MOST_KEYS")
        if (admissions.loadReport().draining) throw failure(Status.UNAVAILABLE, "draining")
        return IssueKeysResponse.newBuilder().addAllKeys(keys.issue(request.count)).build()
    }

    override suspend fun releaseKey(request: ReleaseKeyRequest): ReleaseKeyResponse {
        val service = ServiceName(request.service)
        val result = keys.release(request.idempotencyKey, service, request.keyRound, request.fingerprint)
        return when (result) {
            is ReleaseResult.Voided -> {
                ReleaseKeyResponse
                    .newBuilder()
                    .setNotRun(true)
                    .setTicketRound(result.ticket.round)
                    .build()
            }

            ReleaseResult.NotVoided -> {
                ReleaseKeyResponse.getDefaultInstance()
            }
        }
    }

    override suspend fun probe(request: ProbeRequest): LoadReport = admissions.loadReport().toMessage()

    private fun failure(
        status: Status,
        description: String,
    ): StatusException = status.withDescription(description).asException()

    private companion object {
        const val MOST_KEYS = 1_000
    }
}
