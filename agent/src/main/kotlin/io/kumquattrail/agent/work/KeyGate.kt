package io.kumquattrail.agent.work

import com.github.michaelbull.result.getOrElse
import io.kumquattrail.decision.idempotency.BeginResult
import io.kumquattrail.decision.idempotency.IdempotencyKey
import io.kumquattrail.decision.idempotency.KeyAttempt
import io.kumquattrail.decision.idempotency.KeyOwnership
import io.kumquattrail.decision.idempotency.KeyTable
import io.kumquattrail.decision.idempotency.ReleaseResult
import io.kumquattrail.decision.idempotency.StoredAnswer
import io.kumquattrail.decision.idempotency.Ticket
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.configuration.ConfigurationView
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Lets many coroutines use one [KeyTable], which is made for one thread at a time. */
class KeyGate(
    table: Lazy<KeyTable>,
    private val configuration: ConfigurationView,
    private val clock: Clock,
) {
    private val table: KeyTable by table
    private val lock = ReentrantLock()

    fun issue(count: Int): List<String> = lock.withLock { table.issue(count) }.map { it.toString() }

    /** Decides whether an attempt runs; returns `null` when [key] has a format that no process ever runs. */
    fun begin(
        key: String,
        service: ServiceName,
        round: Int,
        fingerprint: String,
    ): BeginResult? {
        val attempt = attempt(key, service, round, fingerprint) ?: return null
        return lock.withLock { table.begin(attempt, clock.monotonic(), clock.wall()) }
    }

    fun release(
        key: String,
        service: ServiceName,
        round: Int,
        fingerprint: String,
    ): ReleaseResult {
        val attempt = attempt(key, service, round, fingerprint) ?: return ReleaseResult.NotVoided
        return lock.withLock { table.release(attempt, clock.monotonic(), clock.wall()) }
    }

    fun complete(
        key: String,
        round: Int,
        answer: StoredAnswer,
    ) = parse(key)?.let { lock.withLock { table.complete(it, round, answer, clock.monotonic()) } }

    fun failedBeforeSending(
        key: String,
        round: Int,
    ): Ticket? = parse(key)?.let { lock.withLock { table.failedBeforeSending(it, round, clock.monotonic()) } }

    fun failedAfterSending(
        key: String,
        round: Int,
    ) = parse(key)?.let { lock.withLock { table.failedAfterSending(it, round, clock.monotonic()) } }

    private fun attempt(
        key: String,
        service: ServiceName,
        round: Int,
        fingerprint: String,
    ): KeyAttempt? {
        val parsed = parse(key) ?: return null
        val view = configuration.current.value
        val owner = KeyOwnership(view.records).owner(parsed, service)
        return KeyAttempt(parsed, round, fingerprint, owner)
    }

    private fun parse(key: String): IdempotencyKey? = IdempotencyKey.parse(key).getOrElse { null }
}
