package io.kumquattrail.decision.idempotency

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

enum class KeyKind { ISSUED, CALLER }

private const val MAXIMUM_ATTEMPTS = 3
private const val MAXIMUM_DELIVERIES = 2

/** Runs all sequences of [steps] operations of callers, network, server and owner on one key. */
class KeyExploration(
    private val kind: KeyKind,
    private val steps: Int,
) {
    val violations = mutableListOf<String>()
    var sequences = 0
        private set

    fun run(prefix: List<Operation> = emptyList()) {
        val world = World(kind)
        if (!prefix.all(world::apply)) return
        sequences++
        world.violation?.let {
            violations += "$it after $prefix"
            return
        }
        if (prefix.size < steps) Operation.entries.forEach { run(prefix + it) }
    }

    enum class Operation {
        SEND_WITHOUT_TICKET,
        SEND_WITH_LATEST_TICKET,
        DELIVER_FIRST,
        DELIVER_SECOND,
        DELIVER_THIRD,
        COMPLETE,
        FAIL_BEFORE_SENDING,
        FAIL_AFTER_SENDING,
        RELEASE,
        RESTART_OWNER,
    }

    private class Attempt(
        val round: Int,
        var deliveries: Int = 0,
        var precedesNotRun: Boolean = false,
    )

    /** Holds the owner and everything that is under way. Operations return whether they are possible. */
    private class World(
        kind: KeyKind,
    ) {
        private val server = ServerName("ledger-1")
        private val start = WallTime(1_700_000_000_000)
        private val wallTime = start + 60.seconds
        private val now = MonotonicTime.ZERO
        private var table = KeyTable(server, Incarnation(0, 1), start, Random(1))
        private val key =
            when (kind) {
                KeyKind.ISSUED -> table.issue(1).single()
                KeyKind.CALLER -> IdempotencyKey.Caller(high = (wallTime.milliseconds shl 16) or 0x7000, low = 0)
            }
        private val attempts = mutableListOf<Attempt>()
        private var latestTicket = 0
        private var running: Attempt? = null
        private var runningRound = 0
        private var runs = 0
        private var restarts = 0
        var violation: String? = null
            private set

        fun apply(operation: Operation): Boolean =
            when (operation) {
                Operation.SEND_WITHOUT_TICKET -> send(round = 0)
                Operation.SEND_WITH_LATEST_TICKET -> latestTicket > 0 && send(latestTicket)
                Operation.DELIVER_FIRST -> deliver(0)
                Operation.DELIVER_SECOND -> deliver(1)
                Operation.DELIVER_THIRD -> deliver(2)
                Operation.COMPLETE -> ended { table.complete(key, runningRound, ANSWER, now) }
                Operation.FAIL_BEFORE_SENDING -> failBeforeSending()
                Operation.FAIL_AFTER_SENDING -> ended { table.failedAfterSending(key, runningRound, now) }
                Operation.RELEASE -> release()
                Operation.RESTART_OWNER -> restart()
            }

        private fun send(round: Int): Boolean = attempts.size < MAXIMUM_ATTEMPTS && attempts.add(Attempt(round))

        private fun deliver(index: Int): Boolean {
            val attempt = attempts.getOrNull(index)?.takeIf { it.deliveries < MAXIMUM_DELIVERIES } ?: return false
            attempt.deliveries++
            when (val result = table.begin(described(attempt.round), now, wallTime)) {
                is BeginResult.Run -> started(attempt, result.round)
                is BeginResult.Voided -> notRun(result.ticket)
                else -> Unit
            }
            return true
        }

        private fun started(
            attempt: Attempt,
            round: Int,
        ) {
            if (running != null) violation = "two attempts run at once"
            if (runs > 0) violation = "an attempt runs after the key ran"
            if (attempt.precedesNotRun) violation = "an attempt runs that was sent before a `run: no`"
            running = attempt
            runningRound = round
        }

        private fun notRun(ticket: Ticket) {
            if (runs > 0 || running != null) violation = "`run: no` although an attempt ran"
            latestTicket = ticket.round
            attempts.forEach { it.precedesNotRun = true }
        }

        private fun failBeforeSending(): Boolean {
            if (running == null) return false
            running = null
            table.failedBeforeSending(key, runningRound, now)?.let { notRun(it) }
            return true
        }

        private fun ended(report: () -> Unit): Boolean {
            if (running == null) return false
            running = null
            runs++
            report()
            return true
        }

        private fun release(): Boolean {
            (table.release(described(latestTicket), now, wallTime) as? ReleaseResult.Voided)?.let { notRun(it.ticket) }
            return true
        }

        private fun restart(): Boolean {
            if (restarts++ > 0) return false
            // The server may finish what it had received before its agent died.
            if (running != null) runs++
            running = null
            table = KeyTable(server, Incarnation(0, 2), wallTime, Random(2))
            if (key is IdempotencyKey.Issued) table.issue(1)
            return true
        }

        private fun described(round: Int) = KeyAttempt(key, round, "transfer", KeyOwner.Published(server))
    }

    private companion object {
        val ANSWER = StoredAnswer(status = 200, headers = emptyMap(), body = ByteArray(1))
    }
}
