package io.kumquattrail.decision.idempotency

import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState

/** Returns the refusal that answers an attempt with this result, or `null` when the attempt runs or is replayed. */
fun BeginResult.refusal(): Refusal? =
    when (this) {
        is BeginResult.Run, is BeginResult.Replay -> {
            null
        }

        BeginResult.InProgress -> {
            refuse(RefusalReason.KEY_IN_PROGRESS, "A request with this key is in progress.")
        }

        is BeginResult.Voided -> {
            ticket.refusal()
        }

        // The other request with the key may have run, and a caller must not conclude that its operation has not.
        BeginResult.OtherBody -> {
            refuse(RefusalReason.KEY_REUSED, "The key was used before with another request.")
        }

        is BeginResult.Unknown -> {
            refuse(RefusalReason.KEY_OUTCOME_UNKNOWN, "The key's owner does not know its outcome: ${cause.detail}.")
        }

        BeginResult.OtherIncarnation -> {
            refuse(RefusalReason.KEY_OUTCOME_UNKNOWN, "The process that issued the key is gone.")
        }
    }

/** Returns the refusal of an attempt whose round the owner has voided. */
fun Ticket.refusal(): Refusal =
    Refusal(
        reason = RefusalReason.KEY_REFUSED_BEFORE,
        runState = RunState.NO,
        detail = "The key was refused before it ran; a new request needs the ticket.",
        ticket = toString(),
    )

/** Returns the refusal of a request whose key has an unsupported format; no process ever runs it. */
fun KeyFormatError.refusal(): Refusal =
    Refusal(
        reason = RefusalReason.KEY_NOT_SUPPORTED,
        runState = RunState.NO,
        detail =
            when (this) {
                KeyFormatError.EMPTY -> "The idempotency key is empty."
                KeyFormatError.TOO_LONG -> "The idempotency key is too long."
                KeyFormatError.NOT_A_VERSION_7_UUID -> "The idempotency key is not a UUID of version 7."
                KeyFormatError.MALFORMED_ISSUED_KEY -> "The issued idempotency key is malformed."
            },
    )

private val UnknownCause.detail: String
    get() =
        when (this) {
            UnknownCause.KEY_TIME_BEFORE_START -> "the key may be older than the owner's start"
            UnknownCause.KEY_TIME_IN_FUTURE -> "the key's time is in the future"
            UnknownCause.ENTRY_DROPPED -> "the key is older than the entries that the owner keeps"
            UnknownCause.NUMBER_NOT_ISSUED -> "the owner has not issued the key"
            UnknownCause.ROUND_NOT_ISSUED -> "the owner does not know the ticket"
            UnknownCause.OUTCOME_LOST -> "the request was sent to the server and its outcome is lost"
            UnknownCause.ANSWER_NOT_KEPT -> "the request finished and its answer was too large to keep"
            UnknownCause.OTHER_OWNER -> "the records name another owner"
            UnknownCause.NO_GENERATION -> "no published generation covers the key's time"
            UnknownCause.RECORDS_UNCONFIRMED -> "the owner's records are unconfirmed"
            UnknownCause.TABLE_FULL -> "the owner has no free entry"
        }

private fun refuse(
    reason: RefusalReason,
    detail: String,
): Refusal = Refusal(reason = reason, runState = RunState.UNKNOWN, detail = detail)
