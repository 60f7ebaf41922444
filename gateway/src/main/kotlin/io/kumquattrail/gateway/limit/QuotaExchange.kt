package io.kumquattrail.gateway.limit

import io.grpc.StatusException
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.limit.OrganisationKey
import io.kumquattrail.decision.limit.OwnerQuota
import io.kumquattrail.decision.limit.QuotaDecision
import io.kumquattrail.decision.limit.QuotaDemand
import io.kumquattrail.decision.limit.QuotaGrant
import io.kumquattrail.decision.limit.QuotaOwner
import io.kumquattrail.decision.limit.QuotaReport
import io.kumquattrail.decision.limit.QuotaRequest
import io.kumquattrail.decision.limit.QuotaUsage
import io.kumquattrail.decision.membership.MemberState
import io.kumquattrail.node.NodeRuntime
import io.kumquattrail.protocol.v1.QuotaServiceGrpcKt
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import io.kumquattrail.protocol.v1.QuotaDemand as QuotaDemandProto
import io.kumquattrail.protocol.v1.QuotaGrant as QuotaGrantProto
import io.kumquattrail.protocol.v1.QuotaReport as QuotaReportProto
import io.kumquattrail.protocol.v1.QuotaUsage as QuotaUsageProto

/** Keeps organisations within their published limits together with the other gateways. May be used by many threads. */
class QuotaExchange(
    private val node: NodeRuntime,
) {
    private val owner = QuotaOwner()
    private val policy =
        OwnerQuota(node.name, node.incarnation, Random(node.random.nextLong())) { organisation ->
            node.records.organisation(organisation)?.tokensPerSecond
        }

    /** Serves the reports of other gateways. */
    val rpc: QuotaServiceGrpcKt.QuotaServiceCoroutineImplBase = Service()

    fun start() {
        node.scope.launch {
            while (true) {
                delay(TICK_INTERVAL)
                tick()
            }
        }
    }

    /** Decides on a request of [organisation] with an estimated cost of [tokens]. */
    fun admit(
        organisation: OrganisationName,
        tokens: Long,
    ): QuotaDecision = synchronized(policy) { policy.admit(organisation, tokens, node.clock.monotonic()) }

    private fun tick() {
        val now = node.clock.monotonic()
        val gateways = gateways()
        synchronized(owner) { owner.updateGateways(gateways) }
        val requests =
            synchronized(policy) {
                policy.updateGateways(gateways, now)
                policy.tick(now)
            }
        requests.forEach { request -> node.scope.launch { report(request) } }
    }

    private fun gateways(): List<ProcessName> {
        val agents = node.records.servers.mapTo(HashSet()) { it.address }
        val others =
            node.membership.members.value.values
                .filter { it.state == MemberState.ALIVE }
        return others.map { it.process }.filter { it.value !in agents } + node.name
    }

    private suspend fun report(request: QuotaRequest) {
        val grant = if (request.owner == node.name) receive(request.report) else send(request) ?: return
        synchronized(policy) { policy.receive(request.owner, grant, node.clock.monotonic()) }
    }

    private fun receive(report: QuotaReport): QuotaGrant =
        synchronized(owner) { owner.receive(report, node.clock.monotonic()) }

    // Without an answer the policy falls back to the equal share, so a lost report needs no retry.
    private suspend fun send(request: QuotaRequest): QuotaGrant? =
        try {
            val message = request.report.toProto()
            val stub = QuotaServiceGrpcKt.QuotaServiceCoroutineStub(node.channels.channel(request.owner.value))
            val answer = stub.withDeadlineAfter(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS).report(message)
            node.metrics.controlBytes
                .labelValues("sent")
                .inc(message.serializedSize.toDouble())
            node.metrics.controlBytes
                .labelValues("received")
                .inc(answer.serializedSize.toDouble())
            answer.toGrant()
        } catch (_: StatusException) {
            null
        }

    private inner class Service : QuotaServiceGrpcKt.QuotaServiceCoroutineImplBase() {
        override suspend fun report(request: QuotaReportProto): QuotaGrantProto =
            request.toReport()?.let { receive(it).toProto() } ?: QuotaGrantProto.getDefaultInstance()
    }

    private companion object {
        val TICK_INTERVAL = 200.milliseconds
        const val TIMEOUT_MILLISECONDS = 1_000L
    }
}

private fun QuotaReport.toProto(): QuotaReportProto =
    QuotaReportProto
        .newBuilder()
        .setGateway(gateway.value)
        .setIncarnation(incarnation.toString())
        .setSequence(sequence)
        .addAllUsages(
            usages.map {
                QuotaUsageProto
                    .newBuilder()
                    .setOrganisation(it.organisation.value)
                    .setTokens(it.tokens)
                    .setRequests(it.requests)
                    .setLimit(it.limit)
                    .build()
            },
        ).build()

private fun QuotaReportProto.toReport(): QuotaReport? =
    Incarnation.parse(incarnation)?.let { sender ->
        QuotaReport(
            gateway = ProcessName(gateway),
            incarnation = sender,
            sequence = sequence,
            usages =
                usagesList
                    .map { QuotaUsage(OrganisationKey(it.organisation), it.tokens, it.requests, it.limit) }
                    .toImmutableList(),
        )
    }

private fun QuotaGrant.toProto(): QuotaGrantProto =
    QuotaGrantProto
        .newBuilder()
        .setSequence(sequence)
        .setComplete(complete)
        .addAllDemands(
            demands.map { demand ->
                val builder = QuotaDemandProto.newBuilder().setOrganisation(demand.organisation.value)
                demand.tokensPerSecond?.let(builder::setTokensPerSecond)
                builder.build()
            },
        ).build()

private fun QuotaGrantProto.toGrant(): QuotaGrant =
    QuotaGrant(
        sequence = sequence,
        demands =
            demandsList
                .map {
                    val rate = if (it.hasTokensPerSecond()) it.tokensPerSecond else null
                    QuotaDemand(OrganisationKey(it.organisation), rate)
                }.toImmutableList(),
        complete = complete,
    )
