package io.kumquattrail.node.configuration

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import io.kumquattrail.decision.configuration.PublishedEntry
import io.kumquattrail.decision.configuration.RecordDecoder
import io.kumquattrail.decision.configuration.RejectionReason
import io.kumquattrail.decision.record.PublishedRecord
import io.kumquattrail.node.record.JsonRecordDecoder
import io.kumquattrail.node.record.RecordError

/** Decodes entries whose value is the JSON of a record. */
class PublishedRecordDecoder(
    private val decoder: JsonRecordDecoder = JsonRecordDecoder(),
) : RecordDecoder {
    override fun decode(entry: PublishedEntry): Result<PublishedRecord, RejectionReason> =
        decoder.decode(entry.value.toByteArray()).mapError(::rejection)

    private fun rejection(errors: List<RecordError>): RejectionReason {
        val tooNew = errors.filterIsInstance<RecordError.TooNew>().firstOrNull()
        return when {
            errors.any { it is RecordError.UnknownKind } -> RejectionReason.UnknownKind
            tooNew != null -> RejectionReason.NewerReaderRequired(tooNew.minimumReader)
            else -> RejectionReason.Malformed(errors.joinToString("; ") { it.message })
        }
    }
}
