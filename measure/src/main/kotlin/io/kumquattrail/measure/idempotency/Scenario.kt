package io.kumquattrail.measure.idempotency

/** Says whether a caller that was refused with a ticket sends it along. */
enum class TicketUse { ALWAYS, NEVER, SOMETIMES }

/**
 * Describes one key's life.
 *
 * @property issuedKey whether an agent issues the key; otherwise the caller creates it.
 */
data class Scenario(
    val seed: Long,
    val faults: List<PlannedFault>,
    val issuedKey: Boolean,
    val ticketUse: TicketUse,
)

/**
 * Counts what happened to one key.
 *
 * @property calls requests that the caller sent.
 * @property runs runs that the ledger counted.
 * @property answered whether the caller has received the operation's answer.
 * @property falseNotRun `run: no` answers that were not true.
 */
data class ScenarioResult(
    val calls: Int,
    val runs: Int,
    val falseNotRun: Int,
    val refusedUnknown: Int,
    val refusedNotRun: Int,
    val answered: Boolean,
)
