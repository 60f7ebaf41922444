package io.kumquattrail.measure.fleet

import io.kumquattrail.decision.configuration.ExchangeMessage
import io.kumquattrail.decision.configuration.PublishedEntry
import io.kumquattrail.decision.configuration.RecordDelta
import io.kumquattrail.decision.membership.MemberUpdate
import io.kumquattrail.decision.membership.MembershipMessage

/**
 * Computes the sizes of messages from the protobuf encoding of their fields: a tag of one byte, a variable-length
 * integer or a length, and the bytes of texts. Texts are ASCII.
 */
internal object WireSizes {
    /**
     * Bytes that carry one message of a unary gRPC call over an open connection: HTTP/2 header, data and trailer frames
     * with compressed headers (about 60), the gRPC prefix (5), one TLS record (29) and one TCP/IPv4 header (52).
     */
    const val MESSAGE_OVERHEAD_BYTES = 146

    private const val TAG = 1
    private const val BOOLEAN = 2
    private const val INCARNATION = TAG + 1 + 32
    private const val CLOCK = TAG + 6 + TAG + 1
    private const val SERVICE_ENTRY_BYTES = 40
    private const val SERVICE_CALL_BYTES = 400

    fun variable(value: Long): Int = maxOf(1, (Long.SIZE_BITS - value.countLeadingZeroBits() + 6) / 7)

    private fun text(length: Int): Int = TAG + variable(length.toLong()) + length

    private fun number(value: Long): Int = TAG + variable(value)

    fun entry(entry: PublishedEntry): Int =
        text(
            text(entry.kind.length) + text(entry.name.length) + number(entry.revision) + text(entry.value.size),
        )

    fun exchange(message: ExchangeMessage): Int =
        text(message.sender.value.length) + INCARNATION + number(message.revision) + BOOLEAN + CLOCK +
            message.subscription.excludedKinds.sumOf { text(it.length) } +
            (message.delta?.let { delta -> number(delta.from) + delta.entries.sumOf(::entry) } ?: 0)

    /** Bytes of an answer of the configuration service: JSON entries and one HTTP response with its request. */
    fun serviceAnswer(delta: RecordDelta): Int =
        SERVICE_CALL_BYTES +
            delta.entries.sumOf { it.kind.length + it.name.length + it.value.size + SERVICE_ENTRY_BYTES }

    fun update(update: MemberUpdate): Int =
        text(
            text(update.process.value.length) + (if (update.incarnation == null) 0 else INCARNATION) +
                number(update.counter) + text(update.state.label.length),
        )

    fun membership(message: MembershipMessage): Int =
        text(message.header.sender.value.length) + INCARNATION + number(message.header.counter) +
            text(
                message.header.zone
                    ?.value
                    ?.length ?: 0,
            ) + message.header.updates.sumOf(::update) +
            when (message) {
                is MembershipMessage.Probe, is MembershipMessage.Answer -> 0
                is MembershipMessage.ProbeThrough -> text(message.target.value.length)
                is MembershipMessage.ProbeThroughResult -> text(message.target.value.length) + BOOLEAN
            }
}
