package io.kumquattrail.decision.warning

/** A message of a process to operators. */
sealed interface WarningAction {
    /** Raises [warning], which no process that this one has heard of has raised. */
    data class Raise(
        val warning: Warning,
    ) : WarningAction

    /** Clears the warning with [id], which this process had raised. */
    data class Clear(
        val id: WarningId,
    ) : WarningAction
}
