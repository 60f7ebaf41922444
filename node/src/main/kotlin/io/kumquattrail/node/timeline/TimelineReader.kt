package io.kumquattrail.node.timeline

import io.grpc.Status
import io.grpc.StatusException
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.timeline.HybridTimestamp
import io.kumquattrail.decision.timeline.ProcessTimeline
import io.kumquattrail.decision.timeline.ReadFailure
import io.kumquattrail.decision.timeline.TimelineEntry
import io.kumquattrail.node.rpc.ChannelPool
import io.kumquattrail.node.settings.SocketAddress
import io.kumquattrail.protocol.v1.TimelineBatch
import io.kumquattrail.protocol.v1.TimelineRequest
import io.kumquattrail.protocol.v1.TimelineServiceGrpcKt
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.util.concurrent.TimeUnit

/** Reads the kept events of many processes at once. */
class TimelineReader(
    private val channels: ChannelPool,
) {
    suspend fun read(addresses: List<SocketAddress>): List<ProcessTimeline> =
        coroutineScope { addresses.map { async { read(it) } }.awaitAll() }

    private suspend fun read(address: SocketAddress): ProcessTimeline {
        var timeline = ProcessTimeline(ProcessName(address.toString()), ZoneName("unknown"))
        val stub = TimelineServiceGrpcKt.TimelineServiceCoroutineStub(channels.channel(address.toString()))
        var after = 0L
        try {
            while (true) {
                val request = TimelineRequest.newBuilder().setAfterSequence(after).build()
                val batch = stub.withDeadlineAfter(TIMEOUT_SECONDS, TimeUnit.SECONDS).read(request)
                timeline = timeline.plus(batch)
                if (batch.nextAfter <= after || batch.entriesCount == 0) return timeline
                after = batch.nextAfter
            }
        } catch (exception: StatusException) {
            return timeline.copy(failure = failure(exception, timeline.entries.isEmpty()))
        }
    }

    private fun ProcessTimeline.plus(batch: TimelineBatch): ProcessTimeline {
        val process = ProcessName(batch.process)
        val zone = ZoneName(batch.zone)
        val read =
            batch.entriesList.map {
                TimelineEntry(
                    sequence = it.sequence,
                    timestamp = HybridTimestamp(it.clockMilliseconds, it.clockCounter),
                    process = process,
                    zone = zone,
                    kind = it.kind,
                    subject = it.subject,
                    evidence = it.evidenceMap,
                )
            }
        return copy(process = process, zone = zone, entries = entries + read, dropped = dropped + batch.dropped)
    }

    private fun failure(
        exception: StatusException,
        first: Boolean,
    ): ReadFailure =
        when {
            exception.status.code == Status.Code.DEADLINE_EXCEEDED -> ReadFailure.TIMED_OUT
            first -> ReadFailure.UNREACHABLE
            else -> ReadFailure.BROKEN_OFF
        }

    private companion object {
        const val TIMEOUT_SECONDS = 5L
    }
}
