package io.kumquattrail.decision.idempotency

/**
 * Describes one arrival of a keyed request at an agent.
 *
 * @property round round of the request's ticket, or 0 without a ticket.
 * @property fingerprint digest of organisation, service, method, path and body; requests of different organisations
 *   never share one, so a key never returns the answer of another organisation.
 * @property owner owner of the key according to the agent's own records.
 */
data class KeyAttempt(
    val key: IdempotencyKey,
    val round: Int,
    val fingerprint: String,
    val owner: KeyOwner,
)

/**
 * Holds the first answer to a keyed request, to replay it.
 *
 * @property body bytes of the answer; nobody modifies them after construction.
 */
class StoredAnswer(
    val status: Int,
    val headers: Map<String, String>,
    val body: ByteArray,
) {
    /** Memory that the answer occupies, approximately, in bytes. */
    val sizeBytes: Long get() = body.size + headers.entries.sumOf { it.key.length + it.value.length }.toLong()
}

/** Says what the agent does with an attempt. Only [Run] permits sending it to the server. */
sealed interface BeginResult {
    /** The attempt runs in [round]; the agent reports its outcome to the table exactly once. */
    data class Run(
        val round: Int,
    ) : BeginResult

    /** The key has finished and its first answer is the answer to this attempt. */
    data class Replay(
        val answer: StoredAnswer,
    ) : BeginResult

    /** Another attempt of the key is running or waits to run. */
    data object InProgress : BeginResult

    /** No attempt of the key has run, and none runs without [ticket]: the answer is `run: no`. */
    data class Voided(
        val ticket: Ticket,
    ) : BeginResult

    /** The key was used before with another request. */
    data object OtherBody : BeginResult

    /** The owner cannot know whether the key has run. */
    data class Unknown(
        val cause: UnknownCause,
    ) : BeginResult

    /** Only another incarnation, which is gone or elsewhere, knows whether the key has run. */
    data object OtherIncarnation : BeginResult
}

/** Says whether a key is voided after a release. */
sealed interface ReleaseResult {
    /** No attempt of the key has run, and none runs without [ticket]: the answer is `run: no`. */
    data class Voided(
        val ticket: Ticket,
    ) : ReleaseResult

    /** An attempt has run, is running or may have run. */
    data object NotVoided : ReleaseResult
}

/** Lists why an owner cannot know whether a key has run. */
enum class UnknownCause {
    /** The key may be older than this incarnation, and an earlier incarnation may have run it. */
    KEY_TIME_BEFORE_START,

    /** The key is from the future by more than the permitted clock error. */
    KEY_TIME_IN_FUTURE,

    /** The table has dropped entries up to this number or key time. */
    ENTRY_DROPPED,

    /** This incarnation has not issued the key. */
    NUMBER_NOT_ISSUED,

    /** This incarnation has not issued the ticket, or has dropped its entry. */
    ROUND_NOT_ISSUED,

    /** The attempt was sent to the server and its outcome is lost. */
    OUTCOME_LOST,

    /** The answer was too large to keep. */
    ANSWER_NOT_KEPT,

    /** The agent's records name another server as owner. */
    OTHER_OWNER,

    /** The agent's records have no generation for the key's time. */
    NO_GENERATION,

    /** The agent's records are unconfirmed. */
    RECORDS_UNCONFIRMED,

    /** All entries are in use by running attempts. */
    TABLE_FULL,
}
