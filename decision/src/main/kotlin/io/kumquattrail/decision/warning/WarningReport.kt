package io.kumquattrail.decision.warning

import io.kumquattrail.decision.identity.ProcessName
import kotlinx.collections.immutable.ImmutableSet

/**
 * Tells peers what one process knows about warnings. It is empty on an ordinary day.
 *
 * @property burning service levels that the sender itself sees at risk.
 * @property active warnings that the sender has raised and not cleared.
 */
data class WarningReport(
    val process: ProcessName,
    val burning: ImmutableSet<WarningId>,
    val active: ImmutableSet<WarningId>,
)
