package io.kumquattrail.decision.warning

import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.ImmutableMap

/** Identifies a warning by its kind and subject, so that all processes give the same cause the same identifier. */
data class WarningId(
    val kind: WarningKind,
    val subject: String,
) {
    override fun toString(): String = "${kind.label}/$subject"
}

/**
 * Tells operators about a condition that needs their action.
 *
 * @property cause one sentence that says what is wrong.
 * @property evidence figures behind the warning, by name.
 */
data class Warning(
    val id: WarningId,
    val cause: String,
    val evidence: ImmutableMap<String, String>,
    val raisedAt: MonotonicTime,
) {
    val nextStep: String get() = id.kind.nextStep
}
