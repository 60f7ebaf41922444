package io.kumquattrail.decision.idempotency

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse

/**
 * Permits one more attempt of a key whose earlier rounds the owner has refused.
 *
 * `toString` gives the value of the `Idempotency-Ticket` header. Each `run: no` answer of the owner carries a round of
 * its own, so the ticket states that no attempt with a lower round has run or can still run.
 *
 * @property round round in which the attempt may run, at least 1; an attempt without a ticket has round 0.
 */
data class Ticket(
    val key: IdempotencyKey,
    val round: Int,
) {
    override fun toString(): String = "$round$SEPARATOR$key"

    companion object {
        private const val SEPARATOR = "."

        /** Parses the value of the `Idempotency-Ticket` header of a request with [key]. */
        fun parse(
            text: String,
            key: IdempotencyKey,
        ): Result<Ticket, TicketError> {
            val round = text.substringBefore(SEPARATOR).toIntOrNull()
            if (round == null || round < 1) return Err(TicketError.MALFORMED)
            val named =
                IdempotencyKey
                    .parse(text.substringAfter(SEPARATOR, missingDelimiterValue = ""))
                    .getOrElse { return Err(TicketError.MALFORMED) }
            return if (named == key) Ok(Ticket(key = key, round = round)) else Err(TicketError.OTHER_KEY)
        }
    }
}

/** Lists why a text is not a ticket for a request. */
enum class TicketError {
    MALFORMED,
    OTHER_KEY,
}
