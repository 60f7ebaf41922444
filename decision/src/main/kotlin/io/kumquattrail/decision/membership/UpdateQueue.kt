package io.kumquattrail.decision.membership

import io.kumquattrail.decision.identity.ProcessName
import kotlin.math.ceil
import kotlin.math.ln

/**
 * Holds the updates that a process passes on with its messages, each a limited number of times.
 *
 * The least often sent updates go first, so that a flood of updates delays old ones and never enlarges messages.
 */
internal class UpdateQueue(
    private val settings: FailureDetectorSettings,
) {
    // The index of a bucket is the number of times that its updates were sent.
    private val buckets = ArrayList<LinkedHashMap<ProcessName, MemberUpdate>>()
    private val bucketOf = HashMap<ProcessName, Int>()

    /** Number of updates that are still passed on. */
    val size: Int get() = bucketOf.size

    /** Adds [update] in place of an older one about the same process. */
    fun add(update: MemberUpdate) {
        bucketOf.remove(update.process)?.let { buckets[it].remove(update.process) }
        put(update, sent = 0)
    }

    /** Returns the updates for one message to a fleet of [processes] processes. */
    fun take(processes: Int): List<MemberUpdate> {
        if (bucketOf.isEmpty()) return emptyList()
        val most = ceil(settings.sendsPerLogarithm * ln(processes + 1.0)).toInt()
        val taken = ArrayList<Pair<MemberUpdate, Int>>()
        var bytes = 0
        for (sent in buckets.indices) {
            val updates = buckets[sent].values.iterator()
            while (updates.hasNext()) {
                val update = updates.next()
                bytes += size(update)
                if (bytes > settings.updateBytes) break
                updates.remove()
                bucketOf.remove(update.process)
                taken += update to sent
            }
            if (bytes > settings.updateBytes) break
        }
        taken.forEach { (update, sent) -> if (sent + 1 < most) put(update, sent + 1) }
        return taken.map { it.first }
    }

    private fun put(
        update: MemberUpdate,
        sent: Int,
    ) {
        while (buckets.size <= sent) buckets += LinkedHashMap<ProcessName, MemberUpdate>()
        buckets[sent][update.process] = update
        bucketOf[update.process] = sent
    }

    companion object {
        private const val INCARNATION_CHARACTERS = 32
        private const val FIELD_BYTES = 10
        private const val COUNTER_BYTES = 6

        /** Returns the number of bytes of [update] in a protobuf message: texts, a counter and the fields' tags. */
        fun size(update: MemberUpdate): Int =
            FIELD_BYTES + COUNTER_BYTES + update.process.value.length + update.state.label.length +
                if (update.incarnation == null) 0 else INCARNATION_CHARACTERS
    }
}
