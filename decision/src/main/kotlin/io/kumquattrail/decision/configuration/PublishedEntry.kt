package io.kumquattrail.decision.configuration

/**
 * Holds a record in the form in which the configuration service publishes it, whether or not this program understands it.
 *
 * @property kind label of the record's kind; kinds of newer programs are passed on unread.
 * @property revision revision at which the service published [value].
 */
data class PublishedEntry(
    val kind: String,
    val name: String,
    val revision: Long,
    val value: PublishedValue,
) {
    val key: EntryKey = EntryKey(kind, name)
}

/** Identifies a published entry by the label of its kind and by its name. */
data class EntryKey(
    val kind: String,
    val name: String,
) {
    // Processes look up thousands of keys at each start.
    private val hash = 31 * kind.hashCode() + name.hashCode()

    override fun hashCode(): Int = hash

    override fun toString(): String = "$kind/$name"
}

/** Holds the published bytes of a record; equal when the bytes are equal. */
class PublishedValue(
    bytes: ByteArray,
) {
    private val bytes: ByteArray = bytes.copyOf()

    /** Number of bytes. */
    val size: Int get() = bytes.size

    /** Returns a copy of the bytes. */
    fun toByteArray(): ByteArray = bytes.copyOf()

    override fun equals(other: Any?): Boolean = other is PublishedValue && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "$size bytes"
}
