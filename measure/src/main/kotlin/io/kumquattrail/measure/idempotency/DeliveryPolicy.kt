package io.kumquattrail.measure.idempotency

import io.kumquattrail.decision.delivery.WorkKind
import io.kumquattrail.decision.idempotency.IdempotencyKey
import io.kumquattrail.decision.idempotency.KeyOwner
import io.kumquattrail.decision.idempotency.KeyOwnership
import io.kumquattrail.decision.idempotency.KeyTable
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.time.WallTime
import kotlin.random.Random

/** Decides where a keyed call may run. */
interface DeliveryPolicy {
    /** Name in the measurement's rows. */
    val name: String

    /** How a gateway treats a call with a key. */
    val workKind: WorkKind

    /** Whether agents issue keys; callers create all keys otherwise. */
    val issuesKeys: Boolean

    /** Creates the table of an agent, or returns `null` when the agent runs everything that arrives. */
    fun keyTable(
        server: ServerName,
        incarnation: Incarnation,
        startedAt: WallTime,
        random: Random,
    ): KeyTable?

    /** Returns the owner of [key] in the view of a process that believes the servers in [unreachable] to be gone. */
    fun owner(
        key: IdempotencyKey,
        records: RecordSet,
        unreachable: Set<ServerName>,
    ): KeyOwner

    /** Returns the owner of [key] in the view of the agent of [server]. */
    fun ownerAtAgent(
        key: IdempotencyKey,
        records: RecordSet,
        server: ServerName,
    ): KeyOwner = owner(key, records, unreachable = emptySet())
}

/** Runs a key at the owner that the key or its published generation names. */
object KeyTableDelivery : DeliveryPolicy {
    override val name = "key_table"
    override val workKind = WorkKind.KEYED
    override val issuesKeys = true

    override fun keyTable(
        server: ServerName,
        incarnation: Incarnation,
        startedAt: WallTime,
        random: Random,
    ) = KeyTable(server, incarnation, startedAt, random)

    override fun owner(
        key: IdempotencyKey,
        records: RecordSet,
        unreachable: Set<ServerName>,
    ): KeyOwner = KeyOwnership(records).owner(key, LEDGER_SERVICE)
}

/** Runs a key at the owner among the servers that a gateway currently knows, whatever the key's time. */
object HashOverKnownServers : DeliveryPolicy {
    override val name = "hash_over_known_servers"
    override val workKind = WorkKind.KEYED
    override val issuesKeys = false

    override fun keyTable(
        server: ServerName,
        incarnation: Incarnation,
        startedAt: WallTime,
        random: Random,
    ) = KeyTable(server, incarnation, startedAt = WallTime(0), random)

    override fun owner(
        key: IdempotencyKey,
        records: RecordSet,
        unreachable: Set<ServerName>,
    ): KeyOwner {
        val known = records.servers.map { it.name } - unreachable
        val owner = RendezvousHash.owner(key.toString(), known) { it.value }
        return owner?.let { KeyOwner.Published(it) } ?: KeyOwner.NoGeneration
    }

    override fun ownerAtAgent(
        key: IdempotencyKey,
        records: RecordSet,
        server: ServerName,
    ): KeyOwner = KeyOwner.Published(server)
}

/** Forwards a call to any server and retries it after failures, without a table. */
object ForwardWithRetry : DeliveryPolicy {
    override val name = "forward_with_retry"
    override val workKind = WorkKind.REPEATABLE
    override val issuesKeys = false

    override fun keyTable(
        server: ServerName,
        incarnation: Incarnation,
        startedAt: WallTime,
        random: Random,
    ): KeyTable? = null

    override fun owner(
        key: IdempotencyKey,
        records: RecordSet,
        unreachable: Set<ServerName>,
    ): KeyOwner = KeyOwner.NoGeneration
}

/** Service of the measurement. */
internal val LEDGER_SERVICE = ServiceName("ledger")
