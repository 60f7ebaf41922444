package io.kumquattrail.node.timeline

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.timeline.EventRing
import io.kumquattrail.decision.timeline.HybridLogicalClock
import io.kumquattrail.decision.timeline.HybridTimestamp
import io.kumquattrail.decision.timeline.TimelineEvent
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.protocol.v1.TimelineBatch
import io.kumquattrail.protocol.v1.TimelineRequest
import io.kumquattrail.protocol.v1.TimelineServiceGrpcKt
import io.kumquattrail.protocol.v1.TimelineEntry as TimelineEntryProto

/** Records the events of this process and serves them to readers of the timeline. */
class TimelineRecorder(
    private val process: ProcessName,
    private val zone: ZoneName,
    private val clock: Clock,
) {
    private val logicalClock = HybridLogicalClock()
    private val ring = EventRing(logicalClock)

    /** Serves the kept events. */
    val rpc: TimelineServiceGrpcKt.TimelineServiceCoroutineImplBase = Service()

    fun record(event: TimelineEvent) {
        ring.append(event, clock.wall())
    }

    /** Returns a timestamp to send with a message. */
    fun timestamp(): HybridTimestamp = logicalClock.next(clock.wall())

    /** Takes in the timestamp that arrived with a message, so that later events here have a higher one. */
    fun observe(
        milliseconds: Long,
        counter: Int,
    ) {
        logicalClock.observe(HybridTimestamp(milliseconds, counter), clock.wall())
    }

    private inner class Service : TimelineServiceGrpcKt.TimelineServiceCoroutineImplBase() {
        override suspend fun read(request: TimelineRequest): TimelineBatch {
            val most = request.most.takeIf { it in 1..MOST_EVENTS } ?: MOST_EVENTS
            val batch = ring.read(request.afterSequence, most)
            return TimelineBatch
                .newBuilder()
                .setProcess(process.value)
                .setZone(zone.value)
                .setNextAfter(batch.nextAfter)
                .setDropped(batch.dropped)
                .addAllEntries(
                    batch.events.map { recorded ->
                        TimelineEntryProto
                            .newBuilder()
                            .setSequence(recorded.sequence)
                            .setClockMilliseconds(recorded.timestamp.milliseconds)
                            .setClockCounter(recorded.timestamp.counter)
                            .setKind(recorded.event.kind)
                            .setSubject(recorded.event.subject)
                            .putAllEvidence(recorded.event.evidence)
                            .build()
                    },
                ).build()
        }
    }

    private companion object {
        const val MOST_EVENTS = 1_000
    }
}
