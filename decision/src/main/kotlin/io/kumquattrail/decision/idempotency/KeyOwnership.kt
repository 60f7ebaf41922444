package io.kumquattrail.decision.idempotency

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.RecordSet

/**
 * Finds the backend server whose agent owns a key.
 *
 * Published generations never change, so all processes that find an owner for a caller key find the same one, whatever
 * their revisions are.
 *
 * @property confirmed whether a peer or a fresh read has confirmed [records] since the process started.
 */
class KeyOwnership(
    private val records: RecordSet,
    private val confirmed: Boolean = true,
) {
    /** Returns the owner of [key] for a call to [service]. */
    fun owner(
        key: IdempotencyKey,
        service: ServiceName,
    ): KeyOwner =
        when (key) {
            is IdempotencyKey.Issued -> KeyOwner.Issuer(server = key.server, incarnation = key.incarnation)
            is IdempotencyKey.Caller -> callerKeyOwner(key, service)
        }

    private fun callerKeyOwner(
        key: IdempotencyKey.Caller,
        service: ServiceName,
    ): KeyOwner {
        if (!confirmed) return KeyOwner.RecordsUnconfirmed
        val generations =
            records
                .service(service)
                ?.keyOwners
                .orEmpty()
                .filter { key in it }
        // Overlapping generations name two owners, and both could run the key.
        val generation = generations.singleOrNull() ?: return KeyOwner.NoGeneration
        return RendezvousHash
            .owner(key.toString(), generation.servers) { it.value }
            ?.let { KeyOwner.Published(it) }
            ?: KeyOwner.NoGeneration
    }
}

private operator fun KeyOwnerGeneration.contains(key: IdempotencyKey.Caller): Boolean =
    key.time.milliseconds in fromMilliseconds until untilMilliseconds

/** Says which process owns a key, as far as one process knows. */
sealed interface KeyOwner {
    /** The key names its owner. */
    data class Issuer(
        val server: ServerName,
        val incarnation: Incarnation,
    ) : KeyOwner

    /** A published generation gives the owner, in any incarnation that started long enough before the key's time. */
    data class Published(
        val server: ServerName,
    ) : KeyOwner

    /** This process knows no generation, or no unambiguous one, for the key's time; another process may know it. */
    data object NoGeneration : KeyOwner

    /** No peer has confirmed this process's records since it started, so they may be older than they claim. */
    data object RecordsUnconfirmed : KeyOwner
}

/** Server to which an attempt is sent, or `null` when this process knows no owner. */
val KeyOwner.server: ServerName?
    get() =
        when (this) {
            is KeyOwner.Issuer -> server
            is KeyOwner.Published -> server
            KeyOwner.NoGeneration, KeyOwner.RecordsUnconfirmed -> null
        }
