package io.kumquattrail.decision.idempotency

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.WallTime

/** Identifies a request that runs at most once. `toString` gives the value of the `Idempotency-Key` header. */
sealed interface IdempotencyKey {
    /**
     * Names its owner, which is the only process that ever runs it.
     *
     * @property number position among the keys of the incarnation, from 0.
     * @property random bits that stop a caller from guessing the keys of others.
     */
    data class Issued(
        val server: ServerName,
        val incarnation: Incarnation,
        val number: Long,
        val random: Long,
    ) : IdempotencyKey {
        override fun toString(): String =
            listOf(ISSUED_PREFIX, incarnation, number, hexadecimal(random), server).joinToString(SEPARATOR)
    }

    /** Was created by a caller as a UUID of version 7. */
    data class Caller(
        val high: Long,
        val low: Long,
    ) : IdempotencyKey {
        /** Time that the caller's clock showed when it created the key. */
        val time: WallTime get() = WallTime(high ushr TIME_SHIFT)

        override fun toString(): String {
            val digits = hexadecimal(high) + hexadecimal(low)
            return GROUPS.joinToString("-") { digits.substring(it) }
        }
    }

    companion object {
        /** Largest accepted length of a key in characters. */
        const val MAXIMUM_LENGTH: Int = 256

        private const val ISSUED_PREFIX = "kq1"
        private const val SEPARATOR = "_"
        private const val ISSUED_PARTS = 5
        private const val HEXADECIMAL_RADIX = 16
        private const val DIGITS_PER_LONG = 16
        private const val TIME_SHIFT = 16
        private val GROUPS = listOf(0..7, 8..11, 12..15, 16..19, 20..31)
        private val UUID_VERSION_7 =
            Regex("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}", RegexOption.IGNORE_CASE)
        private val SERVER_NAME = Regex("[A-Za-z0-9._:-]+")

        /** Parses the value of the `Idempotency-Key` header. */
        fun parse(text: String): Result<IdempotencyKey, KeyFormatError> =
            when {
                text.isEmpty() -> Err(KeyFormatError.EMPTY)
                text.length > MAXIMUM_LENGTH -> Err(KeyFormatError.TOO_LONG)
                text.startsWith(ISSUED_PREFIX + SEPARATOR) -> parseIssued(text)
                UUID_VERSION_7.matches(text) -> Ok(parseCaller(text))
                else -> Err(KeyFormatError.NOT_A_VERSION_7_UUID)
            }

        private fun parseCaller(text: String): Caller {
            val digits = text.replace("-", "")
            return Caller(
                high = digits.take(DIGITS_PER_LONG).toULong(HEXADECIMAL_RADIX).toLong(),
                low = digits.drop(DIGITS_PER_LONG).toULong(HEXADECIMAL_RADIX).toLong(),
            )
        }

        private fun parseIssued(text: String): Result<Issued, KeyFormatError> {
            val parts = text.split(SEPARATOR, limit = ISSUED_PARTS)
            val key = if (parts.size == ISSUED_PARTS) issuedOf(parts) else null
            // Another spelling of the same key, such as with upper-case digits, would be a second key in the table.
            return if (key != null && key.toString() == text) Ok(key) else Err(KeyFormatError.MALFORMED_ISSUED_KEY)
        }

        private fun issuedOf(parts: List<String>): Issued? {
            val (_, incarnation, number, random, server) = parts
            return Issued(
                server = ServerName(server.takeIf(SERVER_NAME::matches) ?: return null),
                incarnation = Incarnation.parse(incarnation) ?: return null,
                number = number.toLongOrNull()?.takeIf { it >= 0 } ?: return null,
                random = random.toULongOrNull(HEXADECIMAL_RADIX)?.toLong() ?: return null,
            )
        }

        private fun hexadecimal(value: Long): String =
            value.toULong().toString(HEXADECIMAL_RADIX).padStart(DIGITS_PER_LONG, '0')
    }
}

/** Lists why a text is not an idempotency key. No process ever runs a request with such a key. */
enum class KeyFormatError {
    EMPTY,
    TOO_LONG,
    NOT_A_VERSION_7_UUID,
    MALFORMED_ISSUED_KEY,
}
