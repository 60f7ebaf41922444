package io.kumquattrail.decision.configuration

import io.kumquattrail.decision.record.RecordKind
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * Says which kinds of records a process keeps.
 *
 * Kinds are excluded rather than included, so that a process keeps and passes on kinds that are newer than its program.
 *
 * @property excludedKinds labels of the kinds that the process neither keeps nor passes on.
 */
data class RecordSubscription(
    val excludedKinds: ImmutableSet<String> = persistentSetOf(),
) {
    /** Tells whether the process keeps records of [kind]. */
    fun includes(kind: String): Boolean = kind !in excludedKinds

    /** Tells whether a process with this subscription keeps every kind that one with [other] keeps. */
    fun covers(other: RecordSubscription): Boolean = other.excludedKinds.containsAll(excludedKinds)

    companion object {
        /** Keeps every kind of record, as gateways do. */
        val ALL: RecordSubscription = RecordSubscription()

        /** Keeps everything that an agent reads: it needs no organisations, by far the most numerous kind. */
        val AGENT: RecordSubscription = RecordSubscription(persistentSetOf(RecordKind.ORGANISATION.label))
    }
}
