package io.kumquattrail.decision.idempotency

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import java.util.TreeSet
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds a [KeyTable].
 *
 * @property maximumEntries entries of keys, running ones included, at least 1.
 * @property maximumBytes approximate memory of the stored answers.
 * @property keyClockError difference that the wall clocks of any two VMs stay below.
 */
data class KeyTableLimits(
    val maximumEntries: Int = 50_000,
    val maximumBytes: Long = 32L * 1024 * 1024,
    val keyClockError: Duration = 2.seconds,
)

/**
 * Decides, for the keys that one incarnation of an agent owns, which attempts run.
 *
 * A key runs at most once. Every answer from which a caller learns `run: no` raises the key's round, so that each such
 * answer carries a round of its own: an attempt sent before the answer, with or without an older ticket, never runs
 * after it. An instance is used by one thread at a time.
 *
 * @property incarnation incarnation of the agent; only its own issued keys run.
 * @param startedAt wall time read after the agent holds its published address, so that no other agent accepts keys
 *   at that address later.
 * @property random source of the unguessable bits of issued keys.
 */
class KeyTable(
    private val server: ServerName,
    private val incarnation: Incarnation,
    startedAt: WallTime,
    private val random: Random,
    private val limits: KeyTableLimits = KeyTableLimits(),
) {
    private val entries = HashMap<IdempotencyKey, Entry>()

    // Keys that may be dropped: all but the running ones.
    private val idleIssuedKeys = TreeSet(compareBy(IdempotencyKey.Issued::number, IdempotencyKey.Issued::random))
    private val idleCallerKeys = TreeSet(compareBy<IdempotencyKey.Caller> { it.high.toULong() }.thenBy { it.low })

    // An earlier incarnation accepted keys up to one clock error after its own wall time, which may have been ahead of
    // this one's by another.
    private val earliestKeyTime = startedAt + limits.keyClockError * 2

    private var nextNumber = 0L
    private var lowestKnownNumber = 0L
    private var lowestKnownTime = earliestKeyTime

    /** Number of keys with an entry. */
    val size: Int get() = entries.size

    /** Approximate memory of the stored answers in bytes. */
    var storedBytes: Long = 0
        private set

    /** Issues [count] keys that only this incarnation runs. */
    fun issue(count: Int): List<IdempotencyKey.Issued> =
        List(count) {
            IdempotencyKey.Issued(
                server = server,
                incarnation = incarnation,
                number = nextNumber++,
                random = random.nextLong(),
            )
        }

    /** Decides whether [attempt] runs. The agent sends it to its server only on [BeginResult.Run]. */
    fun begin(
        attempt: KeyAttempt,
        now: MonotonicTime,
        wallTime: WallTime,
    ): BeginResult {
        ownershipProblem(attempt)?.let { return it }
        val entry = entries[attempt.key] ?: return beginNew(attempt, now, wallTime)
        if (entry.fingerprint != attempt.fingerprint) return BeginResult.OtherBody
        return when (val state = entry.state) {
            EntryState.Running -> BeginResult.InProgress
            is EntryState.Finished -> BeginResult.Replay(state.answer)
            is EntryState.Unknown -> BeginResult.Unknown(state.cause)
            EntryState.Voided -> beginVoided(attempt, entry, now)
        }
    }

    /** Records the answer of the attempt that runs in [round]; returns `false` when no such attempt runs. */
    fun complete(
        key: IdempotencyKey,
        round: Int,
        answer: StoredAnswer,
        now: MonotonicTime,
    ): Boolean =
        finish(key, round) { entry ->
            makeRoom(bytes = answer.sizeBytes)
            val state =
                when {
                    storedBytes + answer.sizeBytes > limits.maximumBytes -> {
                        EntryState.Unknown(UnknownCause.ANSWER_NOT_KEPT)
                    }

                    else -> {
                        EntryState.Finished(answer)
                    }
                }
            put(key, entry.copy(state = state, changedAt = now))
        }

    /**
     * Records that the attempt that runs in [round] was not sent to the server and never will be.
     *
     * Returns the ticket for the next attempt, or `null` when no such attempt runs.
     */
    fun failedBeforeSending(
        key: IdempotencyKey,
        round: Int,
        now: MonotonicTime,
    ): Ticket? {
        var ticket: Ticket? = null
        finish(key, round) { entry -> ticket = void(key, entry, now) }
        return ticket
    }

    /** Records that the attempt that runs in [round] was sent and its outcome is lost. */
    fun failedAfterSending(
        key: IdempotencyKey,
        round: Int,
        now: MonotonicTime,
    ): Boolean =
        finish(key, round) { entry ->
            put(key, entry.copy(state = EntryState.Unknown(UnknownCause.OUTCOME_LOST), changedAt = now))
        }

    /** Voids the key of [attempt] unless an attempt has run or may be running. */
    fun release(
        attempt: KeyAttempt,
        now: MonotonicTime,
        wallTime: WallTime,
    ): ReleaseResult {
        val key = attempt.key
        val entry = entries[key]
        return when {
            ownershipProblem(attempt) != null -> ReleaseResult.NotVoided

            // A key that is not acceptable now may be accepted by a later incarnation, which knows nothing of this one.
            entry == null && newKeyProblem(attempt, wallTime) != null -> ReleaseResult.NotVoided

            entry == null -> ReleaseResult.Voided(void(key, Entry(fingerprint = attempt.fingerprint), now))

            entry.fingerprint != attempt.fingerprint || entry.state != EntryState.Voided -> ReleaseResult.NotVoided

            else -> ReleaseResult.Voided(void(key, entry, now))
        }
    }

    private fun ownershipProblem(attempt: KeyAttempt): BeginResult? =
        when (val key = attempt.key) {
            is IdempotencyKey.Issued -> {
                BeginResult.OtherIncarnation.takeUnless { key.server == server && key.incarnation == incarnation }
            }

            is IdempotencyKey.Caller -> {
                publishedOwnerProblem(attempt.owner)
            }
        }

    private fun publishedOwnerProblem(owner: KeyOwner): BeginResult? =
        when (owner) {
            is KeyOwner.Published -> unknown(UnknownCause.OTHER_OWNER).takeUnless { owner.server == server }
            is KeyOwner.Issuer, KeyOwner.NoGeneration -> unknown(UnknownCause.NO_GENERATION)
            KeyOwner.RecordsUnconfirmed -> unknown(UnknownCause.RECORDS_UNCONFIRMED)
        }

    /** Returns why a key without an entry must not get one, after it has made room in the table. */
    private fun newKeyProblem(
        attempt: KeyAttempt,
        wallTime: WallTime,
    ): UnknownCause? {
        val cause =
            when (val key = attempt.key) {
                is IdempotencyKey.Issued -> issuedKeyProblem(key)
                is IdempotencyKey.Caller -> callerKeyProblem(key, wallTime)
            }
        return cause ?: UnknownCause.TABLE_FULL.takeUnless { makeRoom(newEntries = 1) }
    }

    private fun issuedKeyProblem(key: IdempotencyKey.Issued): UnknownCause? =
        when {
            key.number >= nextNumber -> UnknownCause.NUMBER_NOT_ISSUED
            key.number < lowestKnownNumber -> UnknownCause.ENTRY_DROPPED
            else -> null
        }

    private fun callerKeyProblem(
        key: IdempotencyKey.Caller,
        wallTime: WallTime,
    ): UnknownCause? =
        when {
            key.time <= earliestKeyTime -> UnknownCause.KEY_TIME_BEFORE_START
            key.time <= lowestKnownTime -> UnknownCause.ENTRY_DROPPED
            key.time > wallTime + limits.keyClockError -> UnknownCause.KEY_TIME_IN_FUTURE
            else -> null
        }

    private fun beginNew(
        attempt: KeyAttempt,
        now: MonotonicTime,
        wallTime: WallTime,
    ): BeginResult {
        // Tickets come from entries, so the entry of a key with a ticket has been dropped.
        if (attempt.round != 0) return unknown(UnknownCause.ROUND_NOT_ISSUED)
        newKeyProblem(attempt, wallTime)?.let { return unknown(it) }
        return run(attempt.key, Entry(fingerprint = attempt.fingerprint, changedAt = now))
    }

    private fun beginVoided(
        attempt: KeyAttempt,
        entry: Entry,
        now: MonotonicTime,
    ): BeginResult =
        when {
            attempt.round > entry.round -> unknown(UnknownCause.ROUND_NOT_ISSUED)

            attempt.round == entry.round -> run(attempt.key, entry.copy(changedAt = now))

            // This answer is a `run: no` too: an attempt with the current ticket may be on its way and must not run
            // after it, so the round rises again.
            else -> BeginResult.Voided(void(attempt.key, entry, now))
        }

    private fun run(
        key: IdempotencyKey,
        entry: Entry,
    ): BeginResult {
        put(key, entry.copy(state = EntryState.Running))
        return BeginResult.Run(entry.round)
    }

    private fun void(
        key: IdempotencyKey,
        entry: Entry,
        now: MonotonicTime,
    ): Ticket {
        val voided = entry.copy(round = entry.round + 1, state = EntryState.Voided, changedAt = now)
        put(key, voided)
        return Ticket(key = key, round = voided.round)
    }

    private inline fun finish(
        key: IdempotencyKey,
        round: Int,
        action: (Entry) -> Unit,
    ): Boolean {
        val entry = entries[key]?.takeIf { it.state == EntryState.Running && it.round == round } ?: return false
        action(entry)
        return true
    }

    private fun put(
        key: IdempotencyKey,
        entry: Entry,
    ) {
        remove(key)
        entries[key] = entry
        storedBytes += entry.sizeBytes
        if (entry.state == EntryState.Running) return
        when (key) {
            is IdempotencyKey.Issued -> idleIssuedKeys += key
            is IdempotencyKey.Caller -> idleCallerKeys += key
        }
    }

    private fun remove(key: IdempotencyKey) {
        val entry = entries.remove(key) ?: return
        storedBytes -= entry.sizeBytes
        when (key) {
            is IdempotencyKey.Issued -> idleIssuedKeys -= key
            is IdempotencyKey.Caller -> idleCallerKeys -= key
        }
    }

    private fun makeRoom(
        newEntries: Int = 0,
        bytes: Long = 0,
    ): Boolean {
        fun fits() = entries.size + newEntries <= limits.maximumEntries && storedBytes + bytes <= limits.maximumBytes

        while (!fits()) {
            if (bytes > limits.maximumBytes || !dropOne()) return false
        }
        return true
    }

    /** Drops the idle entry with the lowest number or key time; absent keys up to it count as unknown from then on. */
    private fun dropOne(): Boolean {
        val issued = idleIssuedKeys.firstOrNull()
        val caller = idleCallerKeys.firstOrNull()
        val dropsIssued =
            issued != null && (caller == null || entries.getValue(issued) isOlderThan entries.getValue(caller))
        when {
            dropsIssued -> {
                lowestKnownNumber = maxOf(lowestKnownNumber, issued.number + 1)
                remove(issued)
            }

            caller != null -> {
                lowestKnownTime = maxOf(lowestKnownTime, caller.time)
                remove(caller)
            }
        }
        return issued != null || caller != null
    }

    private fun unknown(cause: UnknownCause): BeginResult = BeginResult.Unknown(cause)
}

private data class Entry(
    val fingerprint: String,
    val round: Int = 0,
    val state: EntryState = EntryState.Voided,
    val changedAt: MonotonicTime = MonotonicTime.ZERO,
) {
    val sizeBytes: Long get() = (state as? EntryState.Finished)?.answer?.sizeBytes ?: 0

    infix fun isOlderThan(other: Entry): Boolean = changedAt <= other.changedAt
}

private sealed interface EntryState {
    data object Running : EntryState

    data class Finished(
        val answer: StoredAnswer,
    ) : EntryState

    data class Unknown(
        val cause: UnknownCause,
    ) : EntryState

    data object Voided : EntryState
}
