package io.kumquattrail.decision.idempotency

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.record.ServiceRecord

/** Lists how records could give a caller key two owners, or none. */
sealed interface KeyGenerationViolation {
    /** The generation was published before and is missing or different now. */
    data class Changed(
        val service: ServiceName,
        val generation: KeyOwnerGeneration,
    ) : KeyGenerationViolation

    /** Two generations cover the same key time. */
    data class Overlapping(
        val service: ServiceName,
        val first: KeyOwnerGeneration,
        val second: KeyOwnerGeneration,
    ) : KeyGenerationViolation

    /** The generation covers no key time or lists no servers. */
    data class Empty(
        val service: ServiceName,
        val generation: KeyOwnerGeneration,
    ) : KeyGenerationViolation

    /** The server owns keys and has another address than before. */
    data class OwnerMoved(
        val server: ServerName,
    ) : KeyGenerationViolation
}

/** Finds changes of records that could let two processes run the same caller key. */
object KeyGenerationCheck {
    /** Returns what is wrong with [next] as the successor of [previous]; an empty list permits the change. */
    fun violations(
        previous: RecordSet,
        next: RecordSet,
    ): List<KeyGenerationViolation> {
        val services = next.records.values.filterIsInstance<ServiceRecord>()
        return services.flatMap { service ->
            changed(previous.service(service.name), service) + overlapping(service) + empty(service)
        } + moved(previous, next, services)
    }

    private fun changed(
        previous: ServiceRecord?,
        next: ServiceRecord,
    ): List<KeyGenerationViolation> =
        previous
            ?.keyOwners
            .orEmpty()
            .filter { it !in next.keyOwners }
            .map { KeyGenerationViolation.Changed(next.name, it) }

    private fun overlapping(service: ServiceRecord): List<KeyGenerationViolation> =
        service.keyOwners
            .sortedBy { it.fromMilliseconds }
            .zipWithNext()
            .filter { (first, second) -> second.fromMilliseconds < first.untilMilliseconds }
            .map { (first, second) -> KeyGenerationViolation.Overlapping(service.name, first, second) }

    private fun empty(service: ServiceRecord): List<KeyGenerationViolation> =
        service.keyOwners
            .filter { it.servers.isEmpty() || it.fromMilliseconds >= it.untilMilliseconds }
            .map { KeyGenerationViolation.Empty(service.name, it) }

    /** Finds owners with a new address: an agent at the old address may live on for processes with older records. */
    private fun moved(
        previous: RecordSet,
        next: RecordSet,
        services: List<ServiceRecord>,
    ): List<KeyGenerationViolation> =
        services
            .flatMap { service -> service.keyOwners.flatMap { it.servers } }
            .distinct()
            .filter { name ->
                val before = previous.server(name)?.address
                val after = next.server(name)?.address
                before != null && after != null && before != after
            }.map { KeyGenerationViolation.OwnerMoved(it) }
}
