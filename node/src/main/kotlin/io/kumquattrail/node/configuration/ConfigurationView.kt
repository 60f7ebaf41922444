package io.kumquattrail.node.configuration

import io.kumquattrail.decision.record.RecordSet
import kotlinx.coroutines.flow.StateFlow

/**
 * Holds the configuration in effect at one moment.
 *
 * @property confirmed whether the records are known to be no older than those in effect before this process started.
 */
data class ConfigurationSnapshot(
    val records: RecordSet = RecordSet(),
    val confirmed: Boolean = false,
)

/** Shows the configuration in effect in this process. */
interface ConfigurationView {
    /** The configuration in effect, with its later changes. */
    val current: StateFlow<ConfigurationSnapshot>

    /** Compares the records with a peer or the service; returns whether an answer arrived. */
    suspend fun confirm(): Boolean
}
